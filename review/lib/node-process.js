// Starts a node with the command and the settings template of the deploy file.
import { spawn } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';

const root = new URL('../..', import.meta.url).pathname;
const readyTimeoutMs = 20_000;
const portsPerNode = 5;

/** Time as milliseconds since the start of the script, for records. */
export const startedAtMs = Date.now();
export const sinceStartMs = (atMs = Date.now()) => atMs - startedAtMs;

export const delay = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const listenOnFreePort = () =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => resolve(server));
  });

/** Returns free ports that differ from each other. */
export const findFreePorts = async (count) => {
  const servers = [];
  while (servers.length < count) servers.push(await listenOnFreePort());
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
};

const readDeployFile = () => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const read = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(text)?.[1];
  return {
    run: read('run').split(' '),
    template: readFileSync(join(root, read('template')), 'utf8'),
  };
};

const fill = (template, fields) =>
  template.replace(/\{\{([a-z0-9_.]+)\}\}/g, (_, path) => {
    const value = path.split('.').reduce((fieldsSoFar, name) => fieldsSoFar?.[name], fields);
    if (value === undefined)
      throw new Error(`The settings template names ${path}, which is not set`);
    return String(value);
  });

export const bounds = {
  retry_budget_ratio: 0.2,
  budget_slack: 64,
  budget_window_s: 10,
  grace_s: 6,
};

/** A node of the deploy file beside one backend server. */
export class NodeProcess {
  output = '';

  #process;

  constructor({ id, zone, service, serverPort, storeEndpoint, folder, ports }) {
    const [peer, metrics, outbound, ready, control] = ports;
    Object.assign(this, { id, zone, service, outbound, ready, control });
    this.file = join(folder, `${id}.ini`);
    this.fields = {
      node: id,
      ip: '127.0.0.1',
      zone,
      region: 'region-1',
      port_range: [peer, metrics],
      listen: {
        outbound: `127.0.0.1:${outbound}`,
        ready: `127.0.0.1:${ready}`,
        control: `127.0.0.1:${control}`,
      },
      app_addr: `127.0.0.1:${serverPort}`,
      service,
      heartbeat_s: 1.5,
      platform: { address: storeEndpoint },
      bounds,
    };
  }

  get pid() {
    return this.#process?.pid;
  }

  start() {
    const { run, template } = readDeployFile();
    writeFileSync(this.file, fill(template, this.fields));
    const [program, ...words] = run;
    const { PATH, HOME, LANG } = process.env;
    this.#process = spawn(program, words, {
      cwd: root,
      env: { PATH, HOME, LANG, SEQUOIAFIELD_SETTINGS: this.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = this.#process;
    for (const stream of [started.stdout, started.stderr]) {
      stream.on('data', (chunk) => {
        this.output += String(chunk);
      });
    }
  }

  /** Sends a signal and resolves when the process has ended; a stop or continue resolves at once. */
  async signal(name) {
    const current = this.#process;
    if (!current || current.exitCode !== null || current.signalCode !== null) return;
    current.kill(name);
    if (name === 'SIGSTOP' || name === 'SIGCONT') return;
    await new Promise((resolve) => {
      current.once('exit', resolve);
    });
  }

  readReadyStatus() {
    return new Promise((resolve) => {
      const outgoing = request(
        { host: '127.0.0.1', port: this.ready, path: '/ready', agent: false, timeout: 1000 },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode);
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(0));
      outgoing.end();
    });
  }

  async waitUntilReady() {
    const endsAtMs = Date.now() + readyTimeoutMs;
    while ((await this.readReadyStatus()) !== 200) {
      if (Date.now() > endsAtMs) throw new Error(`${this.id} is not ready: ${this.output}`);
      await delay(50);
    }
  }
}

export const allocateNodePorts = () => findFreePorts(portsPerNode);
