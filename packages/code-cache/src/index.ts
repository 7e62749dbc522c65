export { CodeCacheState, loadBundle, LoadedBundle } from './load-bundle.js';
