export * from './clock.js';
export * from './snapshot.js';
