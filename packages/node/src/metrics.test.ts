import { test } from 'node:test';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { createMetricsRegistry } from './metrics.js';

test('a labelled metric has one line for each value of its label', async () => {
  // Guards against refusals that are summed over reasons, so that a full queue cannot be told from
  // a drain.
  const refusals = new Map([['queue-full', 1]]);
  const registry = createMetricsRegistry(
    [{ name: 'sequoiafield_config_version', help: 'In force', read: () => 7 }],
    [
      {
        name: 'sequoiafield_admission_refusals',
        help: 'Refused calls',
        labelName: 'reason',
        readByLabel: () => refusals,
      },
    ],
  );
  await registry.metrics();
  refusals.set('queue-full', 3).set('draining', 2);
  matchSnapshot(import.meta.filename, 'labelled metrics', await registry.metrics());
});
