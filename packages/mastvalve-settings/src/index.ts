/**
 * Settings and intents in TOML, checked once at the edge; every finding comes with its place.
 */

export {checkToml, formatFinding} from './check.js';
export {readIntent} from './intent-schema.js';
export * from './settings.js';
export {readSettings} from './settings-schema.js';
