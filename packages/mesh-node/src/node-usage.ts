import { createUsage, type Usage, type UsageOptions, type UsageSink } from '@sequoiafield/usage';
import type { MetricSource } from './metrics.js';
import type { MeshNodeSettings } from './settings.js';

/** Dependencies of `createNodeUsage`. */
export interface NodeUsageOptions extends Pick<
  UsageOptions,
  'incarnation' | 'links' | 'logger' | 'members' | 'random' | 'store'
> {
  readonly settings: MeshNodeSettings;
  readonly usageSink?: UsageSink | undefined;
}

/** Creates the usage reporting of a node; undefined if its settings have none. */
export const createNodeUsage = ({
  settings,
  usageSink,
  ...options
}: NodeUsageOptions): Usage | undefined => {
  if (!settings.usage || !usageSink) return undefined;
  const { windowMs, lateMs, leaseMs } = settings.usage;
  return createUsage({
    ...{ selfId: settings.id, windowMs, lateMs, leaseMs, sink: usageSink },
    ...options,
  });
};

/** Metrics of the usage reporting of a node. */
export const usageMetrics = (
  { counter, duty, fixer, reporter, sender }: Usage,
  source: (name: string, help: string, read: () => number) => MetricSource,
): readonly MetricSource[] => [
  source(
    'usage_requests_total',
    'Requests of client accounts written to the own server, less those that it did not run',
    () => counter.counters.recorded - counter.counters.undone,
  ),
  source(
    'usage_messages_total',
    'Messages with counts to collectors',
    () => sender.counters.messages,
  ),
  source('usage_duty_held', '1 while this node reports usage', () => (duty.holding() ? 1 : 0)),
  source('usage_duty_taken_total', 'Times that this node took the duty', () => duty.counters.taken),
  source(
    'usage_windows_fixed_total',
    'Windows whose counts this node fixed in the store',
    () => fixer.counters.windowsFixed,
  ),
  source(
    'usage_windows_incomplete_total',
    'Windows that were fixed although some nodes had not delivered their counts',
    () => fixer.counters.windowsIncomplete,
  ),
  source(
    'usage_reports_total',
    'Usage reports that were accepted',
    () => reporter.counters.accepted,
  ),
  source(
    'usage_report_failures_total',
    'Usage reports that were not accepted; they are repeated',
    () => reporter.counters.failed,
  ),
];
