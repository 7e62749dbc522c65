import type { LogEvent } from './catalogue.js';

/** Writes numbered events; fields carry their unit as suffix. */
export interface Logger {
  log(event: LogEvent, fields?: Readonly<Record<string, unknown>>): void;
}
