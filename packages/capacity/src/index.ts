export { CapacityCallEnd, type BegunCall, type CapacityEstimator } from './capacity-estimator.js';
export { DeclaredCapacity } from './declared-capacity.js';
export { LearnedCapacity } from './learned-capacity.js';
