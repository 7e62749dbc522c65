// A small deployment: the store, backend servers and the nodes beside them, on loopback addresses.
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { allocateNodePorts, findFreePorts, NodeProcess, sinceStartMs } from './node-process.js';
import { Server } from './server.js';
import { Store } from './store.js';

const exitCode = { held: 0, broken: 1, notRun: 2 };
/** Longest time of a script. */
const runMaxMs = 110_000;

const createRule = ({ name, kind, prefix, service, timeoutS = 0.6, attempts = 2 }) => ({
  name,
  kind,
  target_latency_s: 0.2,
  priority: 1,
  match: { prefix },
  action: { service, timeout_s: timeoutS, max_attempts: attempts },
});

export class Mesh {
  store = new Store();

  nodes = [];

  servers = [];

  clients = [];

  #lines = [];

  #version = 0;

  constructor(folder) {
    this.folder = folder;
    this.temporary = mkdtempSync(join(tmpdir(), 'review-'));
  }

  /** Adds a line to the record. */
  note(text, atMs = Date.now()) {
    this.#lines.push({ atMs, text });
  }

  putConfiguration(rules, services) {
    this.#version += 1;
    const version = this.#version.toString(16).padStart(8, '0');
    const atMs = this.store.put('op/config', {
      version,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 67_108_864,
        header_timeout_s: 3,
        idle_timeout_s: 15,
      },
      listeners: [{ host: 'till.example', rules: rules.map(createRule) }],
      clusters: services.map((name) => ({
        name,
        health_path: '/health',
        max_connections: 130,
        protocol: 'h1',
        tls: false,
        cold_start_s: 3,
        cold_per_s: 31,
      })),
    });
    this.note(`operator: the store acknowledged configuration ${version}`, atMs);
    return atMs;
  }

  /** Adds a machine: a backend server and, unless told otherwise, the started node beside it. */
  async addMachine({ id, zone, service, ...serverOptions }) {
    const [serverPort] = await findFreePorts(1);
    const server = new Server({ service, zone, port: serverPort, ...serverOptions });
    await server.start();
    const node = new NodeProcess({
      ...{ id, zone, service, serverPort, folder: this.temporary },
      storeEndpoint: this.store.endpoint,
      ports: await allocateNodePorts(),
    });
    this.nodes.push(node);
    this.servers.push(server);
    node.start();
    server.announceTo(node.control);
    return { node, server };
  }

  async waitUntilReady() {
    await Promise.all(this.nodes.map((node) => node.waitUntilReady()));
    for (const server of this.servers) server.sendHeartbeat();
  }

  async end() {
    for (const client of this.clients) client.stop();
    await Promise.all(this.nodes.map((node) => node.signal('SIGKILL')));
    for (const server of this.servers) server.stop();
    this.store.stop();
    rmSync(this.temporary, { recursive: true, force: true });
  }

  writeRecord() {
    for (const { sent } of this.clients) {
      for (const { id, method, path, atMs, status, tookMs } of sent) {
        this.note(
          `client: sent ${id} ${method} ${path}, ended with ${status} after ${tookMs} ms`,
          atMs,
        );
      }
    }
    for (const server of this.servers) {
      for (const { atMs, requestId, serverId, version, callerService, outcome } of server.runs) {
        const text = `server ${serverId} ${server.service} ${version}: ${requestId} of ${callerService}, ${outcome}`;
        this.note(text, atMs);
      }
    }
    const lines = this.#lines
      .sort((left, right) => left.atMs - right.atMs)
      .map(({ atMs, text }) => `${String(sinceStartMs(atMs)).padStart(6)} ms  ${text}`);
    writeFileSync(join(this.folder, 'record.txt'), `${lines.join('\n')}\n`);
  }
}

/** Runs a case and exits with 1 if it returns that the rule was broken, 0 if not, 2 if it could not run. */
export const runCase = async (caseUrl, play) => {
  const mesh = new Mesh(new URL('.', caseUrl).pathname);
  let code = exitCode.notRun;
  const giveUp = (why) => {
    mesh.note(`could not run: ${why}`);
    mesh.writeRecord();
    mesh.end().finally(() => process.exit(exitCode.notRun));
  };
  setTimeout(giveUp, runMaxMs, 'it took too long').unref();
  for (const name of ['SIGTERM', 'SIGINT']) process.once(name, giveUp);
  try {
    await mesh.store.start();
    const verdict = await play(mesh, process.env.TROUBLE !== '0');
    await mesh.end();
    mesh.note(`verdict: ${verdict.isBroken ? 'broken' : 'held'}: ${verdict.text}`);
    console.log(`${verdict.isBroken ? 'broken' : 'held'}: ${verdict.text}`);
    code = verdict.isBroken ? exitCode.broken : exitCode.held;
  } catch (error) {
    mesh.note(`could not run: ${error.stack}`);
    console.error(error);
    await mesh.end().catch(() => undefined);
  }
  mesh.writeRecord();
  process.exit(code);
};
