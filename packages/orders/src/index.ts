export { createOrders, type Orders, type OrdersOptions } from './create-orders.js';
export { OrderKind, type Order, type OrdersDecoder } from './orders-decoder.js';
export { OrdersTable, type OrdersDelta } from './orders-table.js';
