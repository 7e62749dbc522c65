export * from './clock.js';
export * from './fake-network.js';
export * from './snapshot.js';
export * from './wait-until.js';
export { SampleOrders } from './mesh-samples.js';
