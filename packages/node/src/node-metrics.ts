import { MemberState } from '@sequoiafield/types';
import type { LabelledMetricSource, MetricSource } from './metrics.js';
import type { NodeComponents } from './node-components.js';

const prefix = 'sequoiafield_';

const toSnakeCase = (key: string): string =>
  key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);

/** Name of a metric; a counter that begins with the name of its part does not repeat it. */
const metricName = (part: string, key: string): string => {
  const name = toSnakeCase(key);
  return prefix + (name.startsWith(`${part}_`) ? name : `${part}_${name}`);
};

const countersOf = (part: string, counters: object): readonly MetricSource[] =>
  Object.keys(counters).map((key) => ({
    name: metricName(part, key),
    help: `${key} of the ${part} since the start of the process`,
    read: () => (counters as Record<string, number>)[key] ?? 0,
  }));

const countMembers = (parts: NodeComponents, state: MemberState): number =>
  [...parts.membership.view.all()].filter((member) => member.state === state).length;

/**
 * Metrics of a node: state in force, members by state and every counter of its parts.
 *
 * @example
 * const registry = createMetricsRegistry(createNodeMetricSources(parts));
 */
export const createNodeMetricSources = (parts: NodeComponents): readonly MetricSource[] => [
  {
    name: `${prefix}config_version`,
    help: 'Configuration version in force',
    read: () => parts.distribution.configVersion(),
  },
  {
    name: `${prefix}is_serving`,
    help: '1 if the node takes calls',
    read: () => Number(parts.distribution.view.isServing()),
  },
  {
    name: `${prefix}head_reads`,
    help: 'Reads of the head record in the store',
    read: () => parts.distribution.headReads(),
  },
  ...[MemberState.Alive, MemberState.Suspect, MemberState.Draining, MemberState.Dead].map(
    (state) => ({
      name: `${prefix}members_${MemberState[state].toLowerCase()}`,
      help: `Members believed to be ${MemberState[state].toLowerCase()}`,
      read: () => countMembers(parts, state),
    }),
  ),
  {
    name: `${prefix}admission_running_calls`,
    help: 'Calls that run on the own backend server',
    read: () => parts.admission.load().runningCalls,
  },
  {
    name: `${prefix}admission_queued_calls`,
    help: 'Calls that wait for a slot of the own backend server',
    read: () => parts.admission.load().queuedCalls,
  },
  {
    name: `${prefix}admission_slots_now`,
    help: 'Slots that admission gives out, fewer while the own backend server is cold',
    read: () => parts.admission.load().slotsNow,
  },
  ...countersOf('calls', parts.calls.counters),
  ...countersOf('transport', parts.transport.counters),
  ...countersOf('membership', parts.membership.counters),
  ...countersOf('distribution', parts.distribution.counters),
];

/**
 * Metrics of a node that carry a label: refusals of the admission by reason.
 *
 * @example
 * const registry = createMetricsRegistry(createNodeMetricSources(parts), createLabelledMetricSources(parts));
 */
export const createLabelledMetricSources = (
  parts: NodeComponents,
): readonly LabelledMetricSource[] => [
  {
    name: `${prefix}admission_refusals`,
    help: 'Refused calls since the start of the process',
    labelName: 'reason',
    readByLabel: () => parts.refusals,
  },
];
