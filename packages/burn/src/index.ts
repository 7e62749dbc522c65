export * from './burn-types.js';
export { createBurn, mergeBurn, type Burn } from './create-burn.js';
export { formatBurnHtml } from './format-burn-html.js';
export { formatBurnTable } from './format-burn-table.js';
export { summarizeBurn } from './summarize-burn.js';
