import type { Logger } from './logger.js';

/** Drops every event; for tests and benches. */
export class SilentLogger implements Logger {
  log(): void {
    // Nothing is kept.
  }
}
