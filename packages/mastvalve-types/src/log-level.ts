/**
 * Levels of logs.
 */

/** Levels that settings and the command line may name; pino's names. */
export enum LogLevel {
	Debug = 'debug',
	Info = 'info',
	Warn = 'warn',
	Error = 'error',
	Silent = 'silent',
}
