export * from './burn-types.js';
export { createBurnTracker, mergeBurnAnswers, type BurnTracker } from './create-burn-tracker.js';
export { formatBurnHtml } from './format-burn-html.js';
export { formatBurnTable } from './format-burn-table.js';
export { summarizeBurn } from './summarize-burn.js';
