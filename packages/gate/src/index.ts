export { HeartbeatEffect, LocalServerBook, type LocalServer } from './local-server-book.js';
export { RateWindow } from './rate-window.js';
export { ServerGate, type GateSources } from './server-gate.js';
