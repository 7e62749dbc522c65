export * from './paused-clock.js';
export * from './fake-network.js';
export * from './snapshot.js';
export * from './wait-until.js';
export * from './write-without-end.js';
export { sampleMember, sampleOpen, SampleOrders } from './mesh-samples.js';
