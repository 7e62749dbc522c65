export { EventLevel, logEvents, type LogEvent } from './catalogue.js';
export { JsonLogger } from './json-logger.js';
export type { Logger } from './logger.js';
export { SilentLogger } from './silent-logger.js';
