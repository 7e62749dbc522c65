import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  FaultDirection,
  StoreFaultEffect,
  PathFaultMode,
  LocalMesh,
  type LoadOutcome,
} from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import { buildSettlementConfiguration, planSettlementInstances } from './configurations.js';

const instances = planSettlementInstances(['ath-1', 'ath-1', 'ath-1', 'ath-2', 'ath-2', 'ath-2']);
const callerIds = ['s1', 's4'];
const beforeFaultMs = 1500;

/** Fault that is injected under load, and the percentage of calls that must be answered. */
interface FaultScenario {
  readonly name: string;
  inject(mesh: LocalMesh): Promise<void>;
  repair(mesh: LocalMesh): Promise<void>;
  /** Minimum percentage of the calls that must be answered. */
  readonly answeredPercentMin: number;
}

const clearPathFaults = (mesh: LocalMesh): Promise<void> =>
  mesh.setFault(['*'], { mode: PathFaultMode.Pass });

const definePathFault = (
  name: string,
  paths: readonly string[],
  fault: Parameters<LocalMesh['setFault']>[1],
  answeredPercentMin: number,
): FaultScenario => ({
  name,
  inject: (mesh) => mesh.setFault(paths, fault),
  repair: clearPathFaults,
  answeredPercentMin,
});

const scenarios: readonly FaultScenario[] = [
  definePathFault('links of one node cut', ['link:s2'], { mode: PathFaultMode.Cut }, 98),
  definePathFault(
    'links of one node frozen in one direction',
    ['link:s2'],
    { mode: PathFaultMode.Freeze, direction: FaultDirection.ToClient },
    90,
  ),
  definePathFault(
    'open links become silent',
    ['link:s2', 'link:s5'],
    { mode: PathFaultMode.Silent },
    90,
  ),
  definePathFault('links delayed by 100 ms', ['link:s2', 'link:s3'], { delayMs: 100 }, 98),
  definePathFault(
    'gossip duplicated',
    instances.map(({ id }) => `gossip:${id}`),
    { mode: PathFaultMode.Duplicate },
    99,
  ),
  definePathFault(
    'gossip reordered',
    instances.map(({ id }) => `gossip:${id}`),
    { mode: PathFaultMode.Reorder },
    99,
  ),
  definePathFault('gossip of one node cut', ['gossip:s3'], { mode: PathFaultMode.Cut }, 98),
  {
    name: 'one node paused and resumed',
    inject: async (mesh) => mesh.instance('s5').node?.pause(),
    repair: async (mesh) => mesh.instance('s5').node?.resume(),
    answeredPercentMin: 85,
  },
  {
    name: 'store refuses requests',
    inject: (mesh) => mesh.setStoreFaults([{ effect: StoreFaultEffect.Refuse }]),
    repair: (mesh) => mesh.setStoreFaults([]),
    answeredPercentMin: 99,
  },
  {
    name: 'store hangs and a node is paused',
    inject: async (mesh) => {
      await mesh.setStoreFaults([{ effect: StoreFaultEffect.Hang }]);
      mesh.instance('s6').node?.pause();
    },
    repair: async (mesh) => {
      mesh.instance('s6').node?.resume();
      await mesh.setStoreFaults([]);
    },
    answeredPercentMin: 85,
  },
];

const describeOutcome = ({ outcomes, reasons, verification }: LoadOutcome): string =>
  JSON.stringify({ outcomes, reasons, verification });

const mesh = new LocalMesh({ distFolder: buildBundles(), instances, isProxied: true });

before(async () => {
  await mesh.start();
  const { code, log } = await mesh.apply(
    buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' }),
  );
  assert.equal(code, 0, log);
  await mesh.waitForActiveConfiguration(1);
});

after(() => mesh.stop());

for (const [index, scenario] of scenarios.entries()) {
  test(`calls are answered correctly under the fault: ${scenario.name}`, async () => {
    // Guards against non-idempotent requests that run twice, calls that ran but are reported as
    // "not run", and answers that belong to another request.
    const finish = mesh.startLoad(
      [
        ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}', '--lookupPercent', '50'],
        ...['--rate', '80', '--durationS', '6', '--deadlineMs', '3000', '--runId', `cell${index}`],
      ],
      callerIds,
    );
    await delay(beforeFaultMs);
    await scenario.inject(mesh);
    await delay(3000);
    await scenario.repair(mesh);
    const outcome = await finish();
    const answeredPercent = (100 * (outcome.outcomes.answered ?? 0)) / outcome.requests;
    assert.equal(outcome.verification.violationCount, 0, describeOutcome(outcome));
    assert.equal(outcome.outcomes['wrong-answer'], 0, describeOutcome(outcome));
    assert.ok(answeredPercent >= scenario.answeredPercentMin, describeOutcome(outcome));
    await mesh.waitForActiveConfiguration(1, 30_000);
  });
}
