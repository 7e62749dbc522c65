export * from './clock.js';
export * from './random.js';
export * from './table.js';
export * from './tick-loop.js';
