import type { Logger } from './logger.js';

/** Drops every event; for tests and benchmarks. */
export class SilentLogger implements Logger {
  log(): void {
    // Events are dropped on purpose.
  }
}
