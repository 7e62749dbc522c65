import type { Writable } from 'node:stream';
import winston from 'winston';
import { logEvents, type LogEvent } from './log-events.js';
import type { Logger } from './logger.js';

/** Lines are dropped while more output than this is unread; that is about a thousand lines. */
const unreadOutputMaxBytes = 256 * 1024;

/** Where and how a process logs. */
export interface JsonLoggerOptions {
  readonly level?: string;
  /** Standard error by default, so that standard output holds only results. */
  readonly output?: Writable;
}

/**
 * Writes one JSON line per event. While the reader of the log stalls, lines are dropped and counted, so
 * that the process neither waits for the reader nor buffers without limit.
 *
 * @example
 * const logger = new JsonLogger({ node: 'a' }, { output: process.stdout });
 * logger.log(logEvents.nodeStarted, { id: 'a' });
 */
export class JsonLogger implements Logger {
  readonly #winston: winston.Logger;

  readonly #output: Writable;

  /** Number of lines dropped since the start of the process. */
  linesDropped = 0;

  #reportedLinesDropped = 0;

  #hasOutputFailed = false;

  constructor(
    baseFields: Readonly<Record<string, unknown>> = {},
    { level = 'info', output = process.stderr }: JsonLoggerOptions = {},
  ) {
    this.#output = output;
    // A failure of the log output cannot be logged; the metric of `linesDropped` shows it.
    output.on('error', () => {
      this.#hasOutputFailed = true;
    });
    this.#winston = winston.createLogger({
      level,
      defaultMeta: baseFields,
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Stream({ stream: output, eol: '\n' })],
    });
  }

  log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    if (this.#hasOutputFailed || this.#output.writableLength > unreadOutputMaxBytes) {
      this.linesDropped += 1;
      return;
    }
    const dropped = this.linesDropped - this.#reportedLinesDropped;
    if (dropped > 0) {
      this.#write(logEvents.logLinesDropped, { dropped });
      this.#reportedLinesDropped = this.linesDropped;
    }
    this.#write(event, fields);
  }

  #write(event: LogEvent, fields: Readonly<Record<string, unknown>>): void {
    this.#winston.log(event.level, event.name, { ...fields, event: event.number });
  }
}
