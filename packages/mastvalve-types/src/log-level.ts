/**
 * Log levels.
 */

/** Levels accepted in settings and on the command line, named as in pino. */
export enum LogLevel {
	Debug = 'debug',
	Info = 'info',
	Warn = 'warn',
	Error = 'error',
	Silent = 'silent',
}
