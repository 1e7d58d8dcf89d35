/**
 * The command line as a function, for embedding.
 */

export {ExitCode} from './cli/exit-code.js';
export {runMain} from './cli/main.js';
export {renderTimeline} from './timeline/render-timeline.js';
