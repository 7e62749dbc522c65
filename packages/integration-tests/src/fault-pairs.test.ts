import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import {
  StoreFaultEffect,
  PathFaultMode,
  StoreOperation,
  LocalMesh,
  type LoadOutcome,
} from '@sequoiafield/stand-ins';
import { buildBundles } from './build.js';
import {
  buildSettlementConfiguration,
  planSettlementInstances,
  type ConfigurationFiles,
} from './configurations.js';
import { readStartedCalls } from './support/ledger-lines.js';
import { startSettlementLoad, withSettlementDeadline } from './support/settlement-load.js';
import { readHeadVersion } from './support/store-records.js';

const instances = planSettlementInstances(['ath-1', 'ath-1', 'ath-1', 'ath-2', 'ath-2', 'ath-2']);
const evacuatedIds: readonly string[] = ['s4', 's5', 's6'];
/** Time after which an evacuated data centre gets no new calls. */
const evacuationLimitMs = 3000;

const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances,
  isProxied: true,
  hasSeedSettings: true,
});
const bothIn = buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' });

const withDeadline = (deadlineMs: number): ConfigurationFiles =>
  withSettlementDeadline(bothIn, deadlineMs);

const startLoad = (runId: string, durationS: number, targets: readonly string[]) =>
  startSettlementLoad(mesh, { runId, ratePerS: 60, durationS, targets });

const assertOutcome = (outcome: LoadOutcome, answeredPercentMin: number): string => {
  const { outcomes, reasons, verification, requests } = outcome;
  const text = JSON.stringify({ outcomes, reasons, verification });
  assert.equal(verification.violationCount, 0, text);
  assert.equal(outcomes['wrong-answer'], 0, text);
  const answeredPercent = (100 * (outcomes.answered ?? 0)) / requests;
  assert.ok(answeredPercent >= answeredPercentMin, text);
  return `${answeredPercent.toFixed(2)} % of ${requests} calls answered`;
};

before(async () => {
  await mesh.start();
  const { code, log } = await mesh.apply(bothIn);
  assert.equal(code, 0, log);
  await mesh.waitForActiveConfiguration(1);
  // Nodes increase the load of servers that are new to them over some seconds.
  await startLoad('warm-up', 4, ['s1', 's4'])();
});

after(() => mesh.stop());

for (const round of [1, 2]) {
  test(`one of two concurrent changes is accepted when a store answer is lost, round ${round}`, async () => {
    // Guards against an accepted change that is written twice, and against a conflicting change
    // that is reported as accepted because it reads the record of the other one.
    const version = await readHeadVersion(mesh);
    await mesh.setStoreFaults([
      {
        effect: StoreFaultEffect.LoseAnswer,
        operation: StoreOperation.Write,
        keyPrefix: 'sequoiafield/head',
        remaining: 1,
      },
      {
        effect: StoreFaultEffect.Delay,
        operation: StoreOperation.Write,
        keyPrefix: 'sequoiafield/manifest',
        delayMs: 900,
      },
    ]);
    const folders = [1000, 1500].map((deadlineMs) =>
      mesh.writeFolder(`race-${deadlineMs}`, withDeadline(deadlineMs + round)),
    );
    const results = await Promise.all(
      folders.map((folder) =>
        mesh.runCommand(['apply', folder, '--store', mesh.storeUrl, '--author', 'race']),
      ),
    );
    await mesh.setStoreFaults([]);
    assert.deepEqual(results.map(({ code }) => code).sort(), [0, 3], JSON.stringify(results));
    assert.equal(await readHeadVersion(mesh), version + 1);
    await mesh.waitForActiveConfiguration(version + 1);
  });
}

test('calls are answered when open links become silent twice in a row', async (context) => {
  // Guards against a link that replaces a silent connection once but does not detect that the new
  // one becomes silent too.
  const finish = startLoad('silent', 12, ['s1', 's4']);
  for (const pauseMs of [1000, 3000]) {
    await delay(pauseMs);
    await mesh.setFault(['link:s2', 'link:s5'], { mode: PathFaultMode.Silent });
    await mesh.setFault(['link:s2', 'link:s5'], { mode: PathFaultMode.Pass });
  }
  context.diagnostic(assertOutcome(await finish(), 85));
});

test('an evacuated data centre gets no new calls while a third of the nodes restart', async (context) => {
  // Guards against a restarted node that sends calls to a data centre because it has not read yet
  // that the data centre is evacuated.
  const version = await readHeadVersion(mesh);
  const finish = startLoad('out', 14, ['s1', 's2']);
  await delay(1000);
  const restartedIds = ['s3', 's5'];
  await Promise.all(restartedIds.map((id) => mesh.instance(id).node?.kill()));
  restartedIds.forEach((id) => mesh.instance(id).startNode());
  const applied = await mesh.apply(buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'out' }));
  const evacuatedAtUnixMs = Date.now();
  assert.equal(applied.code, 0, applied.log);
  await delay(evacuationLimitMs + 3000);
  const lateCalls = readStartedCalls(mesh, 'settlement', 'out-').filter(
    ({ atUnixMs }) => atUnixMs > evacuatedAtUnixMs + evacuationLimitMs,
  );
  assert.equal(lateCalls.filter(({ serverId }) => evacuatedIds.includes(serverId)).length, 0);
  assert.ok(lateCalls.length > 0, 'no call started late enough after the evacuation to check');
  await mesh.waitForActiveConfiguration(version + 1);
  assert.equal((await mesh.apply(bothIn)).code, 0);
  context.diagnostic(assertOutcome(await finish(), 85));
  await mesh.waitForActiveConfiguration(version + 2);
});
