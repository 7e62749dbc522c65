export * from './calls.js';
export * from './configuration.js';
export * from './constants.js';
export * from './decisions.js';
export * from './enums.js';
export * from './members.js';
export * from './mesh.js';
export * from './records.js';
