import type { BodyMemory, CallProxy } from '@sequoiafield/calls';
import type { MetricSource } from './metrics.js';

/** Metrics of the memory for bodies and of connections with several requests at a time. */
export const bodyMetricSources = (
  { node, server }: BodyMemory,
  { pipelinedRequests }: Pick<CallProxy, 'pipelinedRequests'>,
): readonly MetricSource[] => {
  const rows: readonly [string, string, () => number][] = [
    ['body_memory_bytes', 'Bytes of bodies that the node holds', () => node.heldBytes],
    ['body_memory_peak_bytes', 'Most bytes of bodies at a time', () => node.peakBytes],
    ['body_memory_max_bytes', 'Bytes of bodies that the node may hold', () => node.maxBytes],
    ['body_memory_waits_total', 'Readers that waited for memory', () => node.waits],
    ['body_memory_refusals_total', 'Bodies without memory at the node', () => node.refusals],
    ['server_body_bytes', 'Bytes of large bodies at the own server', () => server.heldBytes],
    ['server_body_max_bytes', 'Bytes of them that are allowed', () => server.maxBytes],
    ['server_body_refusals_total', 'Bodies without memory at it', () => server.refusals],
    [
      'requests_pipelined_total',
      'Requests read before an earlier one of their connection was answered',
      () => pipelinedRequests.requestsPipelined,
    ],
    [
      'requests_pipelined_dropped_total',
      'Requests that did not start, because their connection closed before',
      () => pipelinedRequests.requestsDropped,
    ],
    [
      'connection_pauses_total',
      'Times that reading from a connection paused for what was pending on it',
      () => pipelinedRequests.readingPauses,
    ],
  ];
  return rows.map(([name, help, read]) => ({ name: `sequoiafield_${name}`, help, read }));
};
