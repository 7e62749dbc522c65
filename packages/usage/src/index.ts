export {
  createUsage,
  usageDutyKey,
  usageRecordKey,
  type Usage,
  type UsageOptions,
} from './create-usage.js';
export { UsageCounter } from './usage-counter.js';
export { ReportOutcome, type ReportedCounts, type UsageSink } from './usage-sink.js';
