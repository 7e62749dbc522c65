export { MeshNode } from './mesh-node.js';
export type { MeshParts, PlatformParts } from './mesh-parts.js';
export { renderMetrics, type MetricSource } from './metrics.js';
export { readMeshNodeSettings } from './read-settings.js';
export type { Endpoint, MeshNodeSettings } from './settings.js';
