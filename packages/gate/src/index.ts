export { HeartbeatEffect, LocalServerTracker, type LocalServer } from './local-server-tracker.js';
export { RateWindow } from './rate-window.js';
export { ServerGate, type ServerGateOptions } from './server-gate.js';
