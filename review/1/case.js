// One heartbeat of another writer arrives at a node: its service is not one of the platform's.
// TROUBLE=0 leaves it out.
import { Client } from '../lib/client.js';
import { runCase } from '../lib/mesh.js';
import { delay } from '../lib/node-process.js';

const requestsPerS = 40;
const stableWindowMs = 3000;
const watchedMs = 10_000;

const services = ['tabs', 'rounds'];
const rules = [
  { name: 'look', kind: 'idempotent', prefix: '/look/', service: 'tabs' },
  { name: 'round', kind: 'non_idempotent', prefix: '/round/', service: 'rounds' },
];

await runCase(import.meta.url, async (mesh, hasTrouble) => {
  mesh.putConfiguration(rules, services);
  const machines = [
    { id: 'm-a-1', zone: 'zone-a', service: 'tabs' },
    { id: 'm-a-2', zone: 'zone-a', service: 'rounds' },
    { id: 'm-b-1', zone: 'zone-b', service: 'tabs' },
    { id: 'm-b-2', zone: 'zone-b', service: 'rounds' },
  ];
  const [first] = await Promise.all(machines.map((machine) => mesh.addMachine(machine)));
  await mesh.waitUntilReady();
  const { node, server } = first;
  const client = new Client(node.outbound);
  mesh.clients.push(client);
  const body = Buffer.alloc(1000, 'x');
  client.sendSteadily(requestsPerS, (count) =>
    count % 2 === 0
      ? { path: `/look/${count}` }
      : { method: 'POST', path: `/round/${count}`, body },
  );
  await delay(stableWindowMs + 1000);
  const runsBefore = server.runs.length;
  if (hasTrouble) {
    const heartbeat = { ...server.createHeartbeat(), service: 'huvo99z', sequence: 1 };
    const foreign = { ...heartbeat, born: Date.now() };
    const status = await server.sendHeartbeat(foreign, node.control, 'i-0badc0de');
    mesh.note(`node ${node.id}: answers the heartbeat of another writer with ${status}`);
  }
  await delay(stableWindowMs);
  const ownRunsAtMs = Date.now();
  await delay(watchedMs - stableWindowMs);

  const wrong = mesh.servers
    .flatMap(({ runs }) => runs)
    .filter(
      ({ callerService, outcome }) => callerService !== node.service && outcome !== 'misdirected',
    );
  const lateRuns = server.runs.filter(({ atMs }) => atMs > ownRunsAtMs).length;
  const text =
    `${wrong.length} requests of machine ${node.id} (${node.service}) ran with another caller ` +
    `service; its server ran ${runsBefore} requests before, and ${lateRuns} in the last 7 s`;
  return { isBroken: wrong.length > 0, text };
});
