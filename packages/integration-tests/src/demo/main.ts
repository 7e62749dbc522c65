import { setTimeout as delay } from 'node:timers/promises';
import {
  CallFaultKind,
  LocalMesh,
  type InstancePlan,
  type LoadOutcome,
} from '@sequoiafield/stand-ins';
import { buildBundles } from '../build.js';
import {
  buildSettlementConfiguration,
  withMove,
  type ConfigurationFiles,
} from '../configurations.js';

const moveDurationMs = 24_000;
const dataCentres = { 'ath-1': 'in', 'ath-2': 'in' } as const;

const plan = (id: string, dataCentre: string, backendVersion: string): InstancePlan => ({
  id,
  dataCentre,
  service: 'settlement',
  backendVersion,
  behaviour: { serviceTimeMs: 5 },
});

const instances: readonly InstancePlan[] = [
  plan('s1', 'ath-1', 'v1'),
  plan('s2', 'ath-1', 'v1'),
  plan('s3', 'ath-2', 'v1'),
  plan('s4', 'ath-1', 'v2'),
  plan('s5', 'ath-2', 'v2'),
  plan('s6', 'ath-1', 'v3'),
];

const print = (text: string): void => console.log(text);

const printOutcome = (outcome: LoadOutcome): void => {
  print(`  requests ${outcome.requests}, outcomes ${JSON.stringify(outcome.outcomes)}`);
  print(`  refusal reasons ${JSON.stringify(outcome.reasons)}`);
  print(`  ledger violations ${outcome.verification.violationCount}`);
};

const runMove = async (
  mesh: LocalMesh,
  files: ConfigurationFiles,
  [id, from, to]: readonly [string, string, string],
): Promise<{ status: number | null; outcome: LoadOutcome }> => {
  const finish = mesh.startLoad(
    [
      ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}', '--runId', id],
      ...['--rate', '150', '--durationS', String(moveDurationMs / 1000 + 2)],
    ],
    ['s1', 's3'],
  );
  const move = {
    id,
    service: 'settlement',
    from,
    to,
    startAt: new Date(),
    finishBy: new Date(Date.now() + moveDurationMs),
  };
  const { adminUrl } = mesh.anyInstance;
  const { code, output, log } = await mesh.apply(withMove(files, move), [
    ...['--wait', '--timeout-s', String(moveDurationMs / 1000 + 10), '--admin', adminUrl],
  ]);
  print(`  ${(output || log).replaceAll('\n', '\n  ')}`);
  return { status: code, outcome: await finish() };
};

const runDemo = async (mesh: LocalMesh): Promise<boolean> => {
  print('1. Store, backend servers and nodes start in two data centres.');
  await mesh.start();
  print('2. The operator applies a folder of INI files.');
  const files = buildSettlementConfiguration(dataCentres);
  const applied = await mesh.apply(files);
  print(`  ${applied.output}`);
  const readyMs = Math.round(await mesh.waitForActiveConfiguration(1));
  print(`  all nodes know each other and the version is active after ${readyMs} ms`);
  print('3. Settlement moves from v1 to v2, a good version, under load.');
  const good = await runMove(mesh, files, ['settlement-v2', 'v1', 'v2']);
  printOutcome(good.outcome);
  print('4. Settlement moves from v2 to v3, which fails a third of its calls.');
  await mesh.instance('s6').changeBehaviour({ fault: { kind: CallFaultKind.Fail, percent: 33 } });
  const filesWithStableV2 = Object.fromEntries(
    Object.entries(files).map(([name, text]) => [
      name,
      text.replace('stable_version = v1', 'stable_version = v2'),
    ]),
  );
  const bad = await runMove(mesh, filesWithStableV2, ['settlement-v3', 'v2', 'v3']);
  printOutcome(bad.outcome);
  const hasNoViolations = [good, bad].every(
    ({ outcome }) => outcome.verification.violationCount === 0,
  );
  return good.status === 0 && bad.status === 1 && hasNoViolations;
};

const main = async (): Promise<void> => {
  const mesh = new LocalMesh({ distFolder: buildBundles(), instances });
  try {
    const isSuccess = await runDemo(mesh);
    print(isSuccess ? 'Done: all results are as expected.' : 'Failed: see the results above.');
    process.exitCode = isSuccess ? 0 : 1;
  } finally {
    await mesh.stop();
    await delay(0);
  }
};

await main();
