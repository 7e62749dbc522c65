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
  // Guards against runs that cannot be repeated from their seed.
  const list = (seed: number): unknown[] => {
    const plan = createPlan(seed);
    return Array.from({ length: 50 }, () => plan.next());
  };
  assert.deepEqual(list(5), list(5));
  assert.notDeepEqual(list(5), list(6));
});

test('a load through failing and closing backend servers is accounted for to the last request', async () => {
  // Guards against outcomes that get lost, and against violations reported where there are none.
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
  const bound = { countMax: 300, durationMaxMs: 60_000 };
  const records = await new CallGenerator(createPlan(1), client, targets).run(bound);
  await client.close();
  await Promise.all(servers.map((server) => server.close()));
  const { outcomes } = summarizeRun(records);
  assert.equal(records.length, 300);
  assert.ok(outcomes[RequestOutcome.Answered] > 0);
  assert.ok(outcomes[RequestOutcome.NoResponse] > 0);
  assert.ok(outcomes[RequestOutcome.Failed] > 0);
  assert.equal(outcomes[RequestOutcome.WrongAnswer], 0);
  const set = { ledgers: ledgers.map((ledger) => ledger.entries()), isComplete: true };
  assert.deepEqual(findViolations(records, set), []);
  assert.equal(Object.keys(Object.assign({}, ...set.ledgers) as object).length, 300);
});
