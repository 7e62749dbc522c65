export { MeshNode } from './mesh-node.js';
export type { MeshNodeComponents, PlatformDependencies } from './mesh-node-components.js';
export { renderMetrics, type MetricSource } from './metrics.js';
export { readMeshNodeSettings } from './read-settings.js';
export type { Endpoint, MeshNodeSettings, UsageSettings } from './settings.js';
