export { sha256Hex, toCanonicalJson } from './canonical-json.js';
export { checkReferences } from './check-references.js';
export { diffConfigurations, formatDifference, type KeyDifference } from './diff.js';
export { parseFolderFiles, loadFolder, type FolderFile, type LoadedFolder } from './load-folder.js';
export type { MergedKey, MergedSection } from './folder-merger.js';
export {
  checkHead,
  parseHead,
  parseManifest,
  parseRetirement,
  parseSection,
  parseSeeds,
  parseVerdict,
  type ParsedSection,
} from './parse-bodies.js';
export {
  ConfigDataError,
  ConfigRejectedError,
  formatOrigin,
  formatProblem,
  type ConfigProblem,
  type Origin,
} from './problems.js';
export {
  buildManifest,
  joinMesh,
  routesSectionOf,
  serializeSection,
  toSections,
  type ManifestBody,
  type SectionBody,
} from './sections.js';
export {
  loadNodeSettings,
  loadStoreSettings,
  type NodeSettings,
  type StoreSettings,
} from './node-settings.js';
export type { SettingsSources } from './settings-reader.js';
export { isLoopback, type IpEndpoint } from './settings-values.js';
