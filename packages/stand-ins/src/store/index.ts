export {
  StoreFaultEffect,
  StoreOperation,
  StoreFaultPlan,
  type StoreFaultRule,
} from './store-fault-plan.js';
export { KeyValueTable, type KeyValueEntry } from './key-value-table.js';
export { storeCommand } from './store-command.js';
export { StoreServer, type StoreCounters } from './store-server.js';
