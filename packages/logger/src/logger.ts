import type { LogEvent } from './log-events.js';

/** Writes numbered events; fields carry their unit as suffix. */
export interface Logger {
  /** Lines that were left out since the start of the process; left out where none ever is. */
  readonly linesDropped?: number;
  log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}
