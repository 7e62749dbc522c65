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

interface Scene {
  readonly seed: number;
  readonly callsPerSecond: number;
  readonly newNodes: number;
  /** Share that every caller sends, whatever its rollout says. */
  readonly sentPercent: number;
  readonly isGuarded?: boolean;
}

/** What happened in one second. */
interface Second {
  calls: number;
  ranOnNew: number;
  refused: number;
}

/** A move at the 5 % stage whose callers all send the given share; the receivers guard it. */
class ShareScene {
  readonly mesh: FakeMesh;

  readonly #guards = new Map<FakeNode, RolloutVersionGuard>();

  constructor(private readonly scene: Scene) {
    this.mesh = new FakeMesh(scene.seed, startUnixMs);
    // The plan is far ahead, so that the stage alone caps the share.
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
        backendVersion: index < scene.newNodes ? 'v2' : 'v1',
        // Holds the stage; the test is about the share, not about evidence.
        components: { stageGate: { isProven: () => false } },
      });
      const observation = scene.isGuarded === false ? undefined : node.observation;
      this.#guards.set(node, new RolloutVersionGuard(node.view, snapshot, observation));
      node.publish({ kind: 2, key: `${move.id}:v2`, rank: 2, body: { stage: 2 } });
    }
  }

  run(seconds: number): Second[] {
    const ran: Second[] = [];
    for (let index = 0; index < seconds; index += 1) {
      const second = { calls: 0, ranOnNew: 0, refused: 0 };
      this.mesh.advance(1000, () => this.#tick(second));
      ran.push(second);
    }
    return ran;
  }

  #tick(counts: Second): void {
    const second = counts;
    const { random } = this.mesh;
    const perTick = (this.scene.callsPerSecond * tickIntervalMs) / 1000;
    const calls = Math.floor(perTick) + (random.next() < perTick % 1 ? 1 : 0);
    for (let index = 0; index < calls; index += 1) {
      second.calls += 1;
      const isNew = random.next() * 100 < this.scene.sentPercent;
      const reason = this.#send(isNew ? 'v2' : 'v1');
      if (isNew && reason === undefined) second.ranOnNew += 1;
      if (reason === RefusalReason.VersionOverShare) {
        second.refused += 1;
        assert.equal(this.#send('v1'), undefined);
      }
    }
  }

  /** One attempt at a random backend server of the version, as admission handles it. */
  #send(version: string): RefusalReason | undefined {
    const { random } = this.mesh;
    const able = this.mesh.nodes().filter(({ options }) => options.backendVersion === version);
    const node = able[random.nextInt(able.length)];
    if (!node) return RefusalReason.NoBackendServer;
    node.observation.recordOffered(fakeService, version);
    const reason = this.#guards.get(node)?.reasonToRefuse(fakeService, version, random.next());
    if (reason) node.observation.recordOverShare(fakeService, version);
    return reason;
  }
}

const runScene = (scene: Scene, seconds: number): Second[] => {
  const share = new ShareScene(scene);
  const ran = share.run(seconds);
  share.mesh.close();
  return ran;
};

const percentOn = (ran: readonly Second[]): number => {
  const sum = (key: keyof Second): number => ran.reduce((total, second) => total + second[key], 0);
  return (100 * sum('ranOnNew')) / sum('calls');
};

test('callers that send 50 % are brought down to the cap within a few seconds', () => {
  // Guards against a wrong clock, snapshot or stage of callers that exposes half of the traffic.
  for (const newNodes of [1, 8, 24]) {
    const scene = { seed: newNodes, callsPerSecond: 200, newNodes, sentPercent: 50 };
    const ran = runScene(scene, 20);
    const later = percentOn(ran.slice(8));
    assert.ok(later < capPercent * 1.4, `${later} % with ${newNodes} new: ${JSON.stringify(ran)}`);
    assert.ok(later > capPercent * 0.6, `${later} %: more than the excess was refused`);
    const unguarded = percentOn(runScene({ ...scene, isGuarded: false }, 20).slice(8));
    assert.ok(unguarded > 45, `${unguarded} % without the mechanism`);
  }
});

test('callers that keep to the cap are never refused', () => {
  // Guards against refusals by chance; 24 runs of 30 s with few and with many calls a second.
  for (let seed = 1; seed <= 24; seed += 1) {
    const callsPerSecond = [3, 20, 100, 500][seed % 4] ?? 0;
    const scene = { seed, callsPerSecond, newNodes: 1 + (seed % 24), sentPercent: capPercent };
    const refused = runScene(scene, 30).reduce((sum, second) => sum + second.refused, 0);
    assert.equal(refused, 0, `seed ${seed}, ${callsPerSecond} calls/s`);
  }
});

test('nothing is refused without recent counts of the old version', () => {
  // Guards against a share that looks too high since the old version's counts are missing, and
  // against one stale node beside the old version that switches the enforcement off.
  const refusedWithout = (isSilent: (node: FakeNode) => boolean): number => {
    const share = new ShareScene({ seed: 5, callsPerSecond: 200, newNodes: 8, sentPercent: 50 });
    share.mesh.network = (from) => (isSilent(from) ? [] : [5]);
    const refused = share.run(12).reduce((sum, second) => sum + second.refused, 0);
    share.mesh.close();
    return refused;
  };
  const isOld = ({ options }: FakeNode): boolean => options.backendVersion === 'v1';
  const isAway = ({ options }: FakeNode): boolean => options.dataCentre === 'dc-1';
  assert.equal(
    refusedWithout((node) => isOld(node) && isAway(node)),
    0,
  );
  assert.ok(refusedWithout(({ id }) => id === 'n20') > 400);
});
