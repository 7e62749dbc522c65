import type { Writable } from 'node:stream';
import winston from 'winston';
import { logEvents, type LogEvent } from './log-events.js';
import type { Logger } from './logger.js';

/** Bytes that wait for the reader of the log at most; a thousand lines or so. */
const waitingMaxBytes = 256 * 1024;

/** Where and how a process logs. */
export interface JsonLoggerOptions {
  readonly level?: string;
  /** Standard error unless given, so that standard output stays for results. */
  readonly output?: Writable;
}

/**
 * Writes one JSON line per event. A reader that stalls costs lines, which are counted, and neither time
 * nor memory of the process.
 *
 * @example
 * const logger = new JsonLogger({ node: 'a' }, { output: process.stdout });
 * logger.log(logEvents.nodeStarted, { id: 'a' });
 */
export class JsonLogger implements Logger {
  readonly #winston: winston.Logger;

  readonly #output: Writable;

  /** Lines that were left out since the start of the process. */
  linesDropped = 0;

  #linesDroppedLogged = 0;

  #isBroken = false;

  constructor(
    baseFields: Readonly<Record<string, unknown>> = {},
    { level = 'info', output = process.stderr }: JsonLoggerOptions = {},
  ) {
    this.#output = output;
    // The failure of the log's own output cannot be logged; `linesDropped` shows it as a metric.
    output.on('error', () => {
      this.#isBroken = true;
    });
    this.#winston = winston.createLogger({
      level,
      defaultMeta: baseFields,
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Stream({ stream: output, eol: '\n' })],
    });
  }

  log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    if (this.#isBroken || this.#output.writableLength > waitingMaxBytes) {
      this.linesDropped += 1;
      return;
    }
    const dropped = this.linesDropped - this.#linesDroppedLogged;
    if (dropped > 0) {
      this.#write(logEvents.logLinesDropped, { dropped });
      this.#linesDroppedLogged = this.linesDropped;
    }
    this.#write(event, fields);
  }

  #write(event: LogEvent, fields: Readonly<Record<string, unknown>>): void {
    this.#winston.log(event.level, event.name, { ...fields, event: event.number });
  }
}
