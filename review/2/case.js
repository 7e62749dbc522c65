// A server leaves by deregistering right after the node beside it was restarted; a heartbeat that it
// sent before arrives late. TROUBLE=0 leaves out the restart and the delay, `restart` only the delay,
// and `late` only the restart.
import { Client } from '../lib/client.js';
import { runCase } from '../lib/mesh.js';
import { delay } from '../lib/node-process.js';

const drainTimeoutMs = 2000;
const stableWindowMs = 3000;
const requestsPerS = 30;
/** Time from the acknowledgement of the deregistration to the arrival of the heartbeat. */
const arrivesAfterMs = 1000;
/** Time from the acknowledgement until the server ends, "at times many seconds" over 2 s. */
const servesAfterLeavingMs = 12_000;

const services = ['tabs', 'settlement'];
const rules = [
  { name: 'look', kind: 'idempotent', prefix: '/look/', service: 'tabs' },
  { name: 'settle', kind: 'non_idempotent', prefix: '/settle/', service: 'settlement' },
];

await runCase(import.meta.url, async (mesh, hasTrouble) => {
  const trouble = hasTrouble ? (process.env.TROUBLE ?? 'all') : 'none';
  const isRestarted = trouble !== 'none' && trouble !== 'late';
  const isLate = trouble !== 'none' && trouble !== 'restart';
  mesh.putConfiguration(rules, services);
  const machines = [
    { id: 'm-a-1', zone: 'zone-a', service: 'tabs' },
    { id: 'm-a-2', zone: 'zone-a', service: 'settlement' },
    { id: 'm-b-1', zone: 'zone-b', service: 'tabs' },
    { id: 'm-b-2', zone: 'zone-b', service: 'settlement' },
  ];
  const [caller, leaving] = await Promise.all(machines.map((machine) => mesh.addMachine(machine)));
  await mesh.waitUntilReady();
  const client = new Client(caller.node.outbound);
  mesh.clients.push(client);
  const body = Buffer.alloc(300, 'x');
  client.sendSteadily(requestsPerS, (count) => ({ method: 'PUT', path: `/settle/${count}`, body }));
  await delay(stableWindowMs + 2000);

  const { node, server } = leaving;
  // The network holds this heartbeat, so that the server gets no acknowledgement.
  const heartbeat = server.createHeartbeat();
  server.stopAnnouncing();
  const sentAtMs = Date.now();
  mesh.note(`server ${server.id}: sends heartbeat ${heartbeat.sequence} (ready)`);
  const deliver = async () => {
    const wayMs = Date.now() - sentAtMs;
    mesh.note(`server ${server.id}: heartbeat ${heartbeat.sequence} arrives after ${wayMs} ms`);
    const status = await server.sendHeartbeat(heartbeat);
    mesh.note(`node ${node.id}: answers heartbeat ${heartbeat.sequence} with ${status}`);
  };
  if (!isLate) await deliver();
  if (isRestarted) {
    mesh.note(`platform: SIGTERM to node ${node.id}`);
    await node.signal('SIGTERM');
    mesh.note(`platform: node ${node.id} has ended, starts it again`);
    node.start();
    await node.waitUntilReady();
    mesh.note(`node ${node.id}: is ready`);
  } else await delay(5500);
  const readyAtMs = Date.now();
  const status = await server.deregister();
  const acknowledgedAtMs = Date.now();
  mesh.note(`node ${node.id}: answers the deregistration of ${server.id} with ${status}`);
  if (status !== 200) throw new Error('the deregistration was not acknowledged');
  if (isLate) {
    await delay(arrivesAfterMs);
    await deliver();
  }
  await delay(acknowledgedAtMs + servesAfterLeavingMs - Date.now());
  mesh.note(`server ${server.id}: ends`);
  server.stop();
  const endedAtMs = Date.now();
  await delay(1500);

  // Counted from when both the time to drain has passed and the node was calm for the stable window.
  const boundAtMs = Math.max(acknowledgedAtMs + drainTimeoutMs, readyAtMs + stableWindowMs);
  const late = server.runs.filter(
    ({ atMs, outcome }) => atMs > boundAtMs && outcome !== 'misdirected',
  );
  const cut = late.filter(({ requestId, atMs }) => {
    const sent = client.sent.find(({ id }) => id === requestId);
    return sent?.status !== 200 && atMs > endedAtMs - 1000;
  });
  const text =
    `${late.length} requests reached server ${server.id} later than ${drainTimeoutMs} ms after its ` +
    `deregistration was acknowledged; ${cut.length} of them failed when it ended`;
  return { isBroken: late.length > 0, text };
});
