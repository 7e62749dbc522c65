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
const outIds: readonly string[] = ['s4', 's5', 's6'];
/** Time after which a data centre that is out gets no new work. */
const evacuationLimitMs = 3000;

const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances,
  isProxied: true,
  hasSeedSettings: true,
});
const both = buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'in' });

const withDeadline = (deadlineMs: number): ConfigurationFiles =>
  withSettlementDeadline(both, deadlineMs);

const load = (runId: string, durationS: number, targets: readonly string[]) =>
  startSettlementLoad(mesh, { runId, ratePerS: 60, durationS, targets });

const assertLedgers = (outcome: LoadOutcome, answeredPercentMin: number): string => {
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
  const { code, log } = await mesh.apply(both);
  assert.equal(code, 0, log);
  await mesh.waitForActiveConfiguration(1);
  // Nodes raise the load of servers that they do not know yet over some seconds.
  await load('warm-up', 4, ['s1', 's4'])();
});

after(() => mesh.stop());

for (const round of [1, 2]) {
  test(`race of two operators with a lost answer of the store, round ${round}`, async () => {
    // Guards against a winner that writes twice, and against a loser that takes the winner's
    // record for its own.
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

test('open links go silent twice in a row', async (context) => {
  // Guards against a link that replaces a silent connection once and then trusts the new one.
  const finish = load('silent', 12, ['s1', 's4']);
  for (const pauseMs of [1000, 3000]) {
    await delay(pauseMs);
    await mesh.setFault(['link:s2', 'link:s5'], { mode: PathFaultMode.Silent });
    await mesh.setFault(['link:s2', 'link:s5'], { mode: PathFaultMode.Pass });
  }
  context.diagnostic(assertLedgers(await finish(), 85));
});

test('a data centre goes out while a third of the nodes restart', async (context) => {
  // Guards against a restarted node that sends work to a data centre that it does not know is out.
  const version = await readHeadVersion(mesh);
  const finish = load('out', 14, ['s1', 's2']);
  await delay(1000);
  const restarted = ['s3', 's5'];
  await Promise.all(restarted.map((id) => mesh.instance(id).node?.kill()));
  restarted.forEach((id) => mesh.instance(id).startNode());
  const applied = await mesh.apply(buildSettlementConfiguration({ 'ath-1': 'in', 'ath-2': 'out' }));
  const outAtUnixMs = Date.now();
  assert.equal(applied.code, 0, applied.log);
  await delay(evacuationLimitMs + 3000);
  const late = readStartedCalls(mesh, 'settlement', 'out-').filter(
    ({ atUnixMs }) => atUnixMs > outAtUnixMs + evacuationLimitMs,
  );
  assert.equal(late.filter(({ serverId }) => outIds.includes(serverId)).length, 0);
  assert.ok(late.length > 0, 'no call was late enough to show anything');
  await mesh.waitForActiveConfiguration(version + 1);
  assert.equal((await mesh.apply(both)).code, 0);
  context.diagnostic(assertLedgers(await finish(), 85));
  await mesh.waitForActiveConfiguration(version + 2);
});
