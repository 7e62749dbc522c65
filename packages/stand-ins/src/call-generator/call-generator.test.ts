import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SeededRandom } from '@sequoiafield/tables';
import {
  BackendServer,
  CallClient,
  CallGenerator,
  CallPlan,
  defaultBehaviour,
  CallFaultKind,
  findViolations,
  Ledger,
  RequestOutcome,
  parseRouteTemplate,
  summarizeRun,
} from '../index.js';

const createPlan = (seed: number): CallPlan =>
  new CallPlan(
    {
      runId: 'run',
      ratePerS: 2000,
      lookupPercent: 50,
      lookups: [parseRouteTemplate('GET /tabs/{n}', true)],
      requests: [parseRouteTemplate('post /settle/{n}', false)],
      bodyBytes: 64,
    },
    new SeededRandom(seed),
  );

test('the same seed gives the same requests', () => {
  // Guards against a run that cannot be repeated from its seed.
  const listRequests = (seed: number): unknown[] => {
    const plan = createPlan(seed);
    return Array.from({ length: 50 }, () => plan.next());
  };
  assert.deepEqual(listRequests(5), listRequests(5));
  assert.notDeepEqual(listRequests(5), listRequests(6));
});

test('every request is accounted for when backend servers fail calls and close connections', async () => {
  // Guards against requests without a recorded outcome, and against violations that are reported
  // although there are none.
  const ledgers = [new Ledger(), new Ledger()];
  const servers = ledgers.map(
    (ledger, index) =>
      new BackendServer(
        { serverId: `b${index}`, service: 's', backendVersion: 'v1' },
        { ...defaultBehaviour, serviceTimeMs: 1 },
        ledger,
        new SeededRandom(index),
      ),
  );
  await servers[0]!.changeBehaviour({ fault: { kind: CallFaultKind.Close, percent: 10 } });
  await servers[1]!.changeBehaviour({ fault: { kind: CallFaultKind.Fail, percent: 10 } });
  const ports = await Promise.all(servers.map((server) => server.listen('127.0.0.1', 0)));
  const client = new CallClient(16, 60_000);
  const targets = ports.map((port) => `http://127.0.0.1:${port}`);
  const limits = { countMax: 300, durationMaxMs: 60_000 };
  const records = await new CallGenerator(createPlan(1), client, targets).run(limits);
  await client.close();
  await Promise.all(servers.map((server) => server.close()));
  const { outcomes } = summarizeRun(records);
  assert.equal(records.length, 300);
  assert.ok(outcomes[RequestOutcome.Answered] > 0);
  assert.ok(outcomes[RequestOutcome.NoResponse] > 0);
  assert.ok(outcomes[RequestOutcome.Failed] > 0);
  assert.equal(outcomes[RequestOutcome.WrongAnswer], 0);
  const ledgerSet = { ledgers: ledgers.map((ledger) => ledger.entries()), isComplete: true };
  assert.deepEqual(findViolations(records, ledgerSet), []);
  assert.equal(Object.keys(Object.assign({}, ...ledgerSet.ledgers) as object).length, 300);
});
