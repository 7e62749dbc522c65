import winston from 'winston';
import type { LogEvent } from './catalogue.js';
import type { Logger } from './logger.js';

/** Writes one JSON line per event to standard error, so that standard output stays for results. */
export class JsonLogger implements Logger {
  readonly #winston: winston.Logger;

  constructor(baseFields: Readonly<Record<string, unknown>> = {}, level = 'info') {
    this.#winston = winston.createLogger({
      level,
      defaultMeta: baseFields,
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
      transports: [new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info'] })],
    });
  }

  log(event: LogEvent, fields: Readonly<Record<string, unknown>> = {}): void {
    this.#winston.log(event.level, event.name, { ...fields, event: event.number });
  }
}
