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
const callers = ['s1', 's4'];
const calmMs = 1500;

/** One cell of the matrix: what happens to the mesh while callers send. */
interface FaultCell {
  readonly name: string;
  inject(mesh: LocalMesh): Promise<void>;
  repair(mesh: LocalMesh): Promise<void>;
  /** Least part of the calls that must be answered, in percent. */
  readonly answeredPercentMin: number;
}

const clearPaths = (mesh: LocalMesh): Promise<void> =>
  mesh.setFault(['*'], { mode: PathFaultMode.Pass });

const onPaths = (
  name: string,
  paths: readonly string[],
  fault: Parameters<LocalMesh['setFault']>[1],
  answeredPercentMin: number,
): FaultCell => ({
  name,
  inject: (mesh) => mesh.setFault(paths, fault),
  repair: clearPaths,
  answeredPercentMin,
});

const cells: readonly FaultCell[] = [
  onPaths('links of one node cut', ['link:s2'], { mode: PathFaultMode.Cut }, 98),
  onPaths(
    'links of one node cut one way',
    ['link:s2'],
    { mode: PathFaultMode.Freeze, direction: FaultDirection.ToClient },
    90,
  ),
  onPaths('open links go silent', ['link:s2', 'link:s5'], { mode: PathFaultMode.Silent }, 90),
  onPaths('links delayed by 100 ms', ['link:s2', 'link:s3'], { delayMs: 100 }, 98),
  onPaths(
    'gossip duplicated',
    instances.map(({ id }) => `gossip:${id}`),
    { mode: PathFaultMode.Duplicate },
    99,
  ),
  onPaths(
    'gossip reordered',
    instances.map(({ id }) => `gossip:${id}`),
    { mode: PathFaultMode.Reorder },
    99,
  ),
  onPaths('gossip of one node cut', ['gossip:s3'], { mode: PathFaultMode.Cut }, 98),
  {
    name: 'one node frozen and thawed',
    inject: async (mesh) => mesh.instance('s5').node?.pause(),
    repair: async (mesh) => mesh.instance('s5').node?.resume(),
    answeredPercentMin: 85,
  },
  {
    name: 'store down',
    inject: (mesh) => mesh.setStoreFaults([{ effect: StoreFaultEffect.Refuse }]),
    repair: (mesh) => mesh.setStoreFaults([]),
    answeredPercentMin: 99,
  },
  {
    name: 'store hangs and a node freezes',
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

const describe = ({ outcomes, reasons, verification }: LoadOutcome): string =>
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

for (const [index, cell] of cells.entries()) {
  test(`calls hold under: ${cell.name}`, async () => {
    // Guards against doubled non-idempotent requests, false "not run" and mixed-up answers.
    const finish = mesh.startLoad(
      [
        ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}', '--lookupPercent', '50'],
        ...['--rate', '80', '--durationS', '6', '--deadlineMs', '3000', '--runId', `cell${index}`],
      ],
      callers,
    );
    await delay(calmMs);
    await cell.inject(mesh);
    await delay(3000);
    await cell.repair(mesh);
    const outcome = await finish();
    const answeredPercent = (100 * (outcome.outcomes.answered ?? 0)) / outcome.requests;
    assert.equal(outcome.verification.violationCount, 0, describe(outcome));
    assert.equal(outcome.outcomes['wrong-answer'], 0, describe(outcome));
    assert.ok(answeredPercent >= cell.answeredPercentMin, describe(outcome));
    await mesh.waitForActiveConfiguration(1, 30_000);
  });
}
