export { NodeProcess, type NodePorts } from './node-process.js';
export type { ActiveVersionAnswer } from './admin-interface.js';
