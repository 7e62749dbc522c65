// A server crashes and starts again under the id that it had; its first heartbeat arrives late.
// TROUBLE=0 leaves out the crash, `crash` only the delay of the heartbeat.
import { Client } from '../lib/client.js';
import { runCase } from '../lib/mesh.js';
import { delay } from '../lib/node-process.js';

const coldPerS = 31;
const coldOverage = 1.5;
const coldSlack = 5;
const requestsPerS = 130;
/** Time for which the server is down. */
const downMs = 1200;
/** Time for which the first heartbeat of the new incarnation is on its way. */
const heartbeatDelayMs = 2000;

const services = ['tabs', 'rounds'];
const rules = [
  { name: 'look', kind: 'idempotent', prefix: '/look/', service: 'tabs' },
  { name: 'check', kind: 'idempotent', prefix: '/check/', service: 'rounds' },
];

/** Most requests that were sent and arrived inside one second. */
const countMostInOneSecond = (requests) => {
  let most = 0;
  for (const { sentAtMs: fromMs } of requests) {
    const inside = requests.filter(
      ({ sentAtMs, atMs }) => sentAtMs >= fromMs && atMs <= fromMs + 1000,
    );
    most = Math.max(most, inside.length);
  }
  return most;
};

await runCase(import.meta.url, async (mesh, hasTrouble) => {
  const trouble = hasTrouble ? (process.env.TROUBLE ?? 'all') : 'none';
  mesh.putConfiguration(rules, services);
  const machines = [
    { id: 'm-a-1', zone: 'zone-a', service: 'tabs' },
    { id: 'm-a-2', zone: 'zone-a', service: 'rounds' },
    { id: 'm-b-1', zone: 'zone-b', service: 'tabs' },
  ];
  const [caller, crashing] = await Promise.all(machines.map((machine) => mesh.addMachine(machine)));
  await mesh.waitUntilReady();
  const client = new Client(caller.node.outbound);
  mesh.clients.push(client);
  client.sendSteadily(requestsPerS, (count) => ({ path: `/check/${count}` }));
  await delay(5000);

  const { node, server } = crashing;
  let coldFromMs = Number.POSITIVE_INFINITY;
  if (trouble !== 'none') {
    mesh.note(`server ${server.id}: crashes`);
    server.stop();
    await delay(downMs);
    await server.start({ id: server.id, isCold: true });
    coldFromMs = Date.now();
    mesh.note(`server ${server.id}: has started again, cold for ${server.coldRemainingS} s`);
    const isLate = trouble !== 'crash';
    server.announceTo(node.control, { isFirstSent: !isLate });
    if (isLate) {
      server.stopAnnouncing();
      const heartbeat = server.createHeartbeat();
      mesh.note(`server ${server.id}: sends its first heartbeat, which the network holds`);
      await delay(heartbeatDelayMs);
      mesh.note(`server ${server.id}: its first heartbeat arrives`);
      await server.sendHeartbeat(heartbeat);
      server.announceTo(node.control);
    }
  }
  await delay(4000);

  const coldUntilMs = server.coldUntilMs;
  const whileCold = server.runs
    .filter(
      ({ atMs, outcome }) => atMs >= coldFromMs && atMs < coldUntilMs && outcome !== 'misdirected',
    )
    .map(({ atMs, requestId }) => ({
      atMs,
      sentAtMs: client.sent.find(({ id }) => id === requestId).atMs,
    }));
  const most = countMostInOneSecond(whileCold);
  const bound = coldPerS * coldOverage + coldSlack;
  const text =
    `the cold server ${server.id} got ${whileCold.length} requests while it was cold, ` +
    `${most} in one second; ${bound} are allowed`;
  return { isBroken: most > bound, text };
});
