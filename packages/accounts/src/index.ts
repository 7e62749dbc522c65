export {
  AccountCheck,
  type AccountCheckOptions,
  type AccountsConfiguration,
} from './account-check.js';
export { AccountDirectory, hashKey } from './account-directory.js';
export { RefusedKeyLog } from './refused-key-log.js';
