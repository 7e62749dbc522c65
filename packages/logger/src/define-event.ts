/** Severity of a log event. */
export enum EventLevel {
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Kind of log event: its fixed number, level, name and meaning for the operator. */
export interface LogEvent {
  readonly number: number;
  readonly level: EventLevel;
  readonly name: string;
  readonly meaning: string;
}

/** Defines a log event. */
export const defineEvent = (
  number: number,
  level: EventLevel,
  name: string,
  meaning: string,
): LogEvent => ({ number, level, name, meaning });
