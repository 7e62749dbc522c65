export { EventLevel, logEvents, type LogEvent } from './log-events.js';
export { JsonLogger } from './json-logger.js';
export type { Logger } from './logger.js';
export { SilentLogger } from './silent-logger.js';
