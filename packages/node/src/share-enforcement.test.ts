import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RolloutVersionGuard } from '@sequoiafield/admission';
import {
  FakeMesh,
  fakeDataCentres,
  fakeMove,
  fakeService,
  fakeSnapshot,
  type FakeNode,
} from '@sequoiafield/rollout';
import { RefusalReason, tickIntervalMs } from '@sequoiafield/types';

const startUnixMs = Date.UTC(2026, 0, 1);
const capPercent = 5;
const nodeCount = 26;

interface Scenario {
  readonly seed: number;
  readonly callsPerSecond: number;
  readonly newNodes: number;
  /** Share of the calls that every caller sends to the new version, whatever the stage allows. */
  readonly sentPercent: number;
  readonly isEnforced?: boolean;
}

/** Counts of one second. */
interface SecondCounts {
  calls: number;
  ranOnNew: number;
  refused: number;
}

/**
 * Move at the 5 % stage whose callers all send the given share and whose receivers enforce the cap.
 */
class ShareSimulation {
  readonly mesh: FakeMesh;

  readonly #versionGuards = new Map<FakeNode, RolloutVersionGuard>();

  constructor(private readonly scenario: Scenario) {
    this.mesh = new FakeMesh(scenario.seed, startUnixMs);
    // The plan of the move is nearly complete, so that only the stage limits the share.
    const move = fakeMove(startUnixMs - 3_600_000, { finishByUnixMs: startUnixMs + 60_000 });
    this.mesh.snapshot = fakeSnapshot({ moves: [move] });
    const snapshot = {
      current: () => this.mesh.snapshot,
      isServing: () => true,
      requestSection: () => {},
    };
    for (let index = 0; index < nodeCount; index += 1) {
      const node = this.mesh.add({
        id: `n${index}`,
        dataCentre: fakeDataCentres[index % 3] ?? '',
        service: fakeService,
        backendVersion: index < scenario.newNodes ? 'v2' : 'v1',
        // Keeps the move at its stage; the test covers the share, not the evidence.
        components: { stageGate: { isProven: () => false } },
      });
      const shareTracker = scenario.isEnforced === false ? undefined : node.shareTracker;
      this.#versionGuards.set(node, new RolloutVersionGuard(node.view, snapshot, shareTracker));
      node.publish({ kind: 2, key: `${move.id}:v2`, rank: 2, body: { stage: 2 } });
    }
  }

  run(seconds: number): SecondCounts[] {
    const countsPerSecond: SecondCounts[] = [];
    for (let index = 0; index < seconds; index += 1) {
      const counts = { calls: 0, ranOnNew: 0, refused: 0 };
      this.mesh.advance(1000, () => this.#tick(counts));
      countsPerSecond.push(counts);
    }
    return countsPerSecond;
  }

  #tick(secondCounts: SecondCounts): void {
    const counts = secondCounts;
    const { random } = this.mesh;
    const perTick = (this.scenario.callsPerSecond * tickIntervalMs) / 1000;
    const calls = Math.floor(perTick) + (random.next() < perTick % 1 ? 1 : 0);
    for (let index = 0; index < calls; index += 1) {
      counts.calls += 1;
      const isNew = random.next() * 100 < this.scenario.sentPercent;
      const reason = this.#send(isNew ? 'v2' : 'v1');
      if (isNew && reason === undefined) counts.ranOnNew += 1;
      if (reason === RefusalReason.VersionOverShare) {
        counts.refused += 1;
        assert.equal(this.#send('v1'), undefined);
      }
    }
  }

  /** Sends one attempt to a random backend server of the version, as admission handles it. */
  #send(version: string): RefusalReason | undefined {
    const { random } = this.mesh;
    const candidates = this.mesh
      .nodes()
      .filter(({ options }) => options.backendVersion === version);
    const node = candidates[random.nextInt(candidates.length)];
    if (!node) return RefusalReason.NoBackendServer;
    node.shareTracker.recordOffered(fakeService, version);
    const reason = this.#versionGuards
      .get(node)
      ?.reasonToRefuse(fakeService, version, random.next());
    if (reason) node.shareTracker.recordOverShare(fakeService, version);
    return reason;
  }
}

const runScenario = (scenario: Scenario, seconds: number): SecondCounts[] => {
  const simulation = new ShareSimulation(scenario);
  const countsPerSecond = simulation.run(seconds);
  simulation.mesh.close();
  return countsPerSecond;
};

const percentOnNew = (countsPerSecond: readonly SecondCounts[]): number => {
  const sum = (key: keyof SecondCounts): number =>
    countsPerSecond.reduce((total, second) => total + second[key], 0);
  return (100 * sum('ranOnNew')) / sum('calls');
};

test('the share of callers that send 50 % drops to the cap within a few seconds', () => {
  // Guards against callers with a wrong clock, snapshot or stage that expose half of the traffic to
  // the new version.
  for (const newNodes of [1, 8, 24]) {
    const scenario = { seed: newNodes, callsPerSecond: 200, newNodes, sentPercent: 50 };
    const countsPerSecond = runScenario(scenario, 20);
    const settledPercent = percentOnNew(countsPerSecond.slice(8));
    assert.ok(
      settledPercent < capPercent * 1.4,
      `${settledPercent} % with ${newNodes} new: ${JSON.stringify(countsPerSecond)}`,
    );
    assert.ok(
      settledPercent > capPercent * 0.6,
      `${settledPercent} %: more than the excess was refused`,
    );
    const unenforcedPercent = percentOnNew(
      runScenario({ ...scenario, isEnforced: false }, 20).slice(8),
    );
    assert.ok(unenforcedPercent > 45, `${unenforcedPercent} % without the enforcement`);
  }
});

test('calls of callers that send no more than the cap are never refused', () => {
  // Guards against refusals caused by random variation; 24 runs of 30 s with 3 to 500 calls a
  // second.
  for (let seed = 1; seed <= 24; seed += 1) {
    const callsPerSecond = [3, 20, 100, 500][seed % 4] ?? 0;
    const scenario = { seed, callsPerSecond, newNodes: 1 + (seed % 24), sentPercent: capPercent };
    const refused = runScenario(scenario, 30).reduce((sum, second) => sum + second.refused, 0);
    assert.equal(refused, 0, `seed ${seed}, ${callsPerSecond} calls/s`);
  }
});

test('no call is refused without recent counts of the old version', () => {
  // Guards against a share that appears too high because counts of the old version are missing, and
  // against a single node with stale counts that disables the enforcement.
  const refusedWithout = (isSilent: (node: FakeNode) => boolean): number => {
    const simulation = new ShareSimulation({
      seed: 5,
      callsPerSecond: 200,
      newNodes: 8,
      sentPercent: 50,
    });
    simulation.mesh.network = (from) => (isSilent(from) ? [] : [5]);
    const refused = simulation.run(12).reduce((sum, second) => sum + second.refused, 0);
    simulation.mesh.close();
    return refused;
  };
  const isOld = ({ options }: FakeNode): boolean => options.backendVersion === 'v1';
  const isInDc1 = ({ options }: FakeNode): boolean => options.dataCentre === 'dc-1';
  assert.equal(
    refusedWithout((node) => isOld(node) && isInDc1(node)),
    0,
  );
  assert.ok(refusedWithout(({ id }) => id === 'n20') > 400);
});
