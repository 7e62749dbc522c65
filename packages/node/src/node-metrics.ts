import { MemberState } from '@sequoiafield/types';
import type { LabelledMetricSource, MetricSource } from './metrics.js';
import type { NodeComponents } from './node-components.js';

const metricPrefix = 'sequoiafield_';

const toSnakeCase = (key: string): string =>
  key.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);

/**
 * Returns the name of a metric; a counter that begins with its component's name does not repeat it.
 */
const metricNameOf = (component: string, key: string): string => {
  const name = toSnakeCase(key);
  return metricPrefix + (name.startsWith(`${component}_`) ? name : `${component}_${name}`);
};

const createCounterSources = (component: string, counters: object): readonly MetricSource[] =>
  Object.keys(counters).map((key) => ({
    name: metricNameOf(component, key),
    help: `${key} of the ${component} since the start of the process`,
    read: () => (counters as Record<string, number>)[key] ?? 0,
  }));

const countMembers = (components: NodeComponents, state: MemberState): number =>
  [...components.membership.view.all()].filter((member) => member.state === state).length;

/**
 * Creates the metrics of a node: current state, members by state and every counter of its
 * components.
 *
 * @example
 * const registry = createMetricsRegistry(createNodeMetricSources(components));
 */
export const createNodeMetricSources = (components: NodeComponents): readonly MetricSource[] => [
  {
    name: `${metricPrefix}config_version`,
    help: 'Configuration version in force',
    read: () => components.distribution.configVersion(),
  },
  {
    name: `${metricPrefix}is_serving`,
    help: '1 if the node takes calls',
    read: () => Number(components.distribution.view.isServing()),
  },
  {
    name: `${metricPrefix}head_reads`,
    help: 'Reads of the head record in the store',
    read: () => components.distribution.headReads(),
  },
  ...[MemberState.Alive, MemberState.Suspect, MemberState.Draining, MemberState.Dead].map(
    (state) => ({
      name: `${metricPrefix}members_${MemberState[state].toLowerCase()}`,
      help: `Members believed to be ${MemberState[state].toLowerCase()}`,
      read: () => countMembers(components, state),
    }),
  ),
  {
    name: `${metricPrefix}admission_running_calls`,
    help: 'Calls that run on the own backend server',
    read: () => components.admission.load().runningCalls,
  },
  {
    name: `${metricPrefix}admission_queued_calls`,
    help: 'Calls that wait for a slot of the own backend server',
    read: () => components.admission.load().queuedCalls,
  },
  {
    name: `${metricPrefix}admission_slots_now`,
    help: 'Slots that admission gives out, fewer while the own backend server is cold',
    read: () => components.admission.load().slotsNow,
  },
  {
    name: `${metricPrefix}requests_without_key_total`,
    help: 'Requests refused because they have no key of a client account',
    read: () => components.refusedKeys.withoutKey,
  },
  {
    name: `${metricPrefix}requests_unknown_key_total`,
    help: 'Requests refused because the configuration does not hold their key',
    read: () => components.refusedKeys.withUnknownKey,
  },
  ...createCounterSources('calls', components.calls.counters),
  ...createCounterSources('transport', components.transport.counters),
  ...createCounterSources('membership', components.membership.counters),
  ...createCounterSources('distribution', components.distribution.counters),
];

/**
 * Creates the metrics of a node that carry a label: refused calls by reason.
 *
 * @example
 * const registry = createMetricsRegistry(
 *   createNodeMetricSources(components),
 *   createLabelledMetricSources(components),
 * );
 */
export const createLabelledMetricSources = (
  components: NodeComponents,
): readonly LabelledMetricSource[] => [
  {
    name: `${metricPrefix}admission_refusals`,
    help: 'Refused calls since the start of the process',
    labelName: 'reason',
    readByLabel: () => components.refusals,
  },
];
