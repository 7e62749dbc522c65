export { AccountCheck, type AccountCheckOptions } from './account-check.js';
export { AccountDirectory, hashKey } from './account-directory.js';
export { RefusedKeyLog } from './refused-key-log.js';
