// A bad version is rolled back, a server of the old version crashes, and the operator orders a third
// version before the servers of the bad one have left. TROUBLE=0 leaves out the crash.
import { Client } from '../lib/client.js';
import { runCase } from '../lib/mesh.js';
import { delay } from '../lib/node-process.js';

const exposureShare = 0.1;
const exposureSlack = 50;
const rollbackMs = 5000;
const badAnswersCounted = 50;
const requestsPerS = 100;
const durationS = 12;
/** Times from the rollback to the next order and to the drain of the servers of the bad version. */
const nextOrderAfterMs = 1500;
const drainAfterMs = 6000;
const statusTimeoutMs = 12_000;

const services = ['front', 'tabs'];
const rules = [{ name: 'look', kind: 'idempotent', prefix: '/look/', service: 'tabs' }];

await runCase(import.meta.url, async (mesh, hasTrouble) => {
  mesh.putConfiguration(rules, services);
  const machine = (id, zone, service, version) => mesh.addMachine({ id, zone, service, version });
  const [caller, old] = await Promise.all([
    machine('m-a-1', 'zone-a', 'front', 'v1'),
    machine('m-a-2', 'zone-a', 'tabs', 'v1'),
    machine('m-b-1', 'zone-b', 'tabs', 'v1'),
  ]);
  await mesh.waitUntilReady();
  const client = new Client(caller.node.outbound);
  mesh.clients.push(client);
  client.sendSteadily(requestsPerS, (count) => ({ path: `/look/${count}` }));
  await delay(4000);

  const order = (version) => {
    const atMs = mesh.store.put('op/rollout/tabs', {
      service: 'tabs',
      target_version: version,
      duration_s: durationS,
    });
    mesh.note(`operator: the store acknowledged the order of ${version}`, atMs);
    return atMs;
  };
  const orderedAtMs = order('v2');
  const bad = await Promise.all([
    machine('m-a-3', 'zone-a', 'tabs', 'v2'),
    machine('m-b-2', 'zone-b', 'tabs', 'v2'),
  ]);
  // Every second request of the bad version fails.
  let badRuns = 0;
  const nextStatus = () => {
    badRuns += 1;
    return badRuns % 2 === 0 ? 500 : 200;
  };
  bad.forEach(({ server }) => Object.assign(server, { statusOf: nextStatus }));
  const isRolledBack = () => mesh.store.read('status/rollout/tabs')?.state === 'rolled_back';
  for (let waitedMs = 0; !isRolledBack() && waitedMs < statusTimeoutMs; waitedMs += 20)
    await delay(20);
  if (!isRolledBack()) throw new Error('the bad version was not rolled back');
  mesh.note('operator: reads that v2 is rolled_back');
  if (hasTrouble) {
    mesh.note(`server ${old.server.id}: crashes for good`);
    old.server.stop();
  }
  await delay(nextOrderAfterMs);
  await Promise.all([
    machine('m-a-4', 'zone-a', 'tabs', 'v3'),
    machine('m-b-3', 'zone-b', 'tabs', 'v3'),
  ]);
  order('v3');
  await delay(drainAfterMs - nextOrderAfterMs);
  for (const { server } of bad) {
    server.state = 'draining';
    const status = await server.sendHeartbeat();
    mesh.note(`server ${server.id}: draining, acknowledged with ${status}`);
  }
  await delay(2500);
  for (const { server } of bad) server.stop();
  await delay(Math.max(0, orderedAtMs + durationS * 1000 - Date.now()));

  const runsOf = (machines) =>
    machines
      .flatMap(({ server }) => server.runs)
      .filter(({ outcome }) => outcome !== 'misdirected')
      .sort((left, right) => left.atMs - right.atMs);
  const isInTime = ({ atMs }) => atMs >= orderedAtMs && atMs <= orderedAtMs + durationS * 1000;
  const all = mesh.servers
    .filter(({ service }) => service === 'tabs')
    .map((server) => ({ server }));
  const badRequests = runsOf(bad);
  const reached = badRequests.filter(isInTime).length;
  const allowed = exposureShare * runsOf(all).filter(isInTime).length + exposureSlack;
  const failed = badRequests.filter(({ outcome }) => outcome === 'answered 500');
  const boundAtMs = (failed[badAnswersCounted - 1]?.atMs ?? Number.POSITIVE_INFINITY) + rollbackMs;
  const sentLate = badRequests.filter(
    ({ requestId }) => client.sent.find(({ id }) => id === requestId).atMs > boundAtMs,
  );
  const text =
    `v2 got ${reached} requests from its order to its deadline, ${Math.floor(allowed)} are allowed, ` +
    `and ${sentLate.length} that were sent over ${rollbackMs} ms after its 50th bad answer`;
  return { isBroken: reached > allowed || sentLate.length > 0, text };
});
