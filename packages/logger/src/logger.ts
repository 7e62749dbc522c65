import type { LogEvent } from './log-events.js';

/** Writes numbered log events; the name of a field ends with its unit. */
export interface Logger {
  /**
   * Number of lines dropped since the start of the process; undefined if the logger never drops
   * any.
   */
  readonly linesDropped?: number;
  log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}
