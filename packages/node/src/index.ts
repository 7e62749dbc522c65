export { NodeProcess, type NodePorts } from './node-process.js';
export type { InForceAnswer } from './admin-interface.js';
