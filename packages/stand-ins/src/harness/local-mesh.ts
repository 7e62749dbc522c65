import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { PathFault } from '../fault-proxy/path-fault.js';
import type { StoreFaultRule } from '../store/index.js';
import {
  LocalInstance,
  allocateInstancePorts,
  type HarnessPaths,
  type InstancePlan,
} from './local-instance.js';
import { allocateFreePort } from './free-ports.js';
import { ManagedProcess } from './managed-process.js';

const pollIntervalMs = 50;

/** Result of a command that ended. */
export interface CommandOutcome {
  readonly code: number | null;
  readonly output: string;
  readonly log: string;
}

/** Fields of the result of the call generator that tests read. */
export interface LoadOutcome {
  readonly requests: number;
  readonly outcomes: Readonly<Record<string, number>>;
  readonly reasons: Readonly<Record<string, number>>;
  readonly routes: Readonly<Record<string, Readonly<Record<string, number>>>>;
  readonly verification: {
    readonly violationCount: number;
    readonly areLedgersComplete: boolean;
    readonly violations: readonly unknown[];
  };
}

/** Options of a local mesh. */
export interface LocalMeshOptions {
  /** Folder with the bundles `sequoiafield.cjs` and `stand-ins.cjs`. */
  readonly distFolder: string;
  readonly instances: readonly InstancePlan[];
  /** Routes gossip, link and store traffic of every instance through a fault proxy. */
  readonly isProxied?: boolean;
  readonly seed?: number;
  /** Lists the other instances as seeds in the settings; nodes find peers without the store. */
  readonly hasSeedSettings?: boolean;
}

/** Store, backend servers and nodes as real processes on loopback. */
export class LocalMesh {
  readonly instances = new Map<string, LocalInstance>();

  readonly #paths: HarnessPaths;

  #store: ManagedProcess | undefined;

  #proxy: ManagedProcess | undefined;

  #proxyUrl = '';

  storeUrl = '';

  constructor(private readonly options: LocalMeshOptions) {
    this.#paths = {
      command: join(options.distFolder, 'sequoiafield.cjs'),
      standIns: join(options.distFolder, 'stand-ins.cjs'),
      workFolder: mkdtempSync(join(tmpdir(), 'sequoiafield-')),
    };
  }

  /** Starts the store, the fault proxy if `isProxied` is set, and every instance. */
  async start(): Promise<void> {
    const storePort = await allocateFreePort();
    this.storeUrl = `http://127.0.0.1:${storePort}`;
    this.#store = new ManagedProcess('store', this.#paths.standIns, [
      'store',
      '--port',
      String(storePort),
    ]);
    await this.#store.waitUntilReady();
    for (const plan of this.options.instances) {
      const ports = await allocateInstancePorts(this.options.isProxied === true, plan.address);
      const storeUrl = ports.store ? `http://127.0.0.1:${ports.store}` : this.storeUrl;
      const instance = new LocalInstance(plan, ports, this.#paths, storeUrl, () =>
        this.#seedsFor(plan.id),
      );
      this.instances.set(plan.id, instance);
    }
    if (this.options.isProxied) await this.#startProxy(storePort);
    await Promise.all([...this.instances.values()].map((instance) => instance.start()));
  }

  instance(id: string): LocalInstance {
    const instance = this.instances.get(id);
    if (!instance) throw new Error(`Instance "${id}" does not exist`);
    return instance;
  }

  get anyInstance(): LocalInstance {
    const [first] = this.instances.values();
    if (!first) throw new Error('The mesh has no instance');
    return first;
  }

  /** Runs a `sequoiafield` command and waits for its exit. */
  async runCommand(args: readonly string[]): Promise<CommandOutcome> {
    return new ManagedProcess(args.join(' '), this.#paths.command, args).waitForExit();
  }

  /** Writes files into a configuration folder and returns its path. */
  writeFolder(name: string, files: Readonly<Record<string, string>>): string {
    const folder = join(this.#paths.workFolder, name);
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    Object.entries(files).forEach(([file, text]) => writeFileSync(join(folder, file), text));
    return folder;
  }

  /** Applies files as the complete configuration; `args` are appended to the command. */
  apply(
    files: Readonly<Record<string, string>>,
    args: readonly string[] = [],
  ): Promise<CommandOutcome> {
    const folder = this.writeFolder('configuration', files);
    return this.runCommand([
      'apply',
      folder,
      '--store',
      this.storeUrl,
      '--author',
      'test',
      ...args,
    ]);
  }

  /** Polls until the condition holds and returns the time in ms; throws with the label on timeout. */
  async waitUntil(
    label: string,
    timeoutMs: number,
    condition: () => Promise<boolean> | boolean,
  ): Promise<number> {
    const startedAtMs = performance.now();
    for (;;) {
      if (await Promise.resolve(condition()).catch(() => false)) {
        return performance.now() - startedAtMs;
      }
      if (performance.now() - startedAtMs > timeoutMs) {
        throw new Error(`Timed out after ${timeoutMs} ms waiting for: ${label}`);
      }
      await delay(pollIntervalMs);
    }
  }

  /** Waits until every node serves at least this version and knows all members; returns the ms. */
  async waitForActiveConfiguration(configVersion: number, timeoutMs = 20_000): Promise<number> {
    const ids = [...this.instances.keys()];
    return this.waitUntil(`version ${configVersion} active on all nodes`, timeoutMs, async () => {
      const states = await Promise.all(ids.map((id) => this.instance(id).state()));
      return states.every(
        (state) =>
          Number(state.configVersion) >= configVersion &&
          state.isServing === true &&
          state.members === ids.length,
      );
    });
  }

  /** Replaces the faults of the store; an empty list removes them. */
  async setStoreFaults(rules: readonly Partial<StoreFaultRule>[]): Promise<void> {
    await this.#put(`${this.storeUrl}/control/faults`, rules);
  }

  /** Reads how many requests the store has counted so far, by kind. */
  async storeCounters(): Promise<Record<string, number>> {
    const response = await fetch(`${this.storeUrl}/control/counters`);
    return (await response.json()) as Record<string, number>;
  }

  /**
   * Sets the fault of proxied paths: `link:ID` and `gossip:ID`, or `*` for all of these, and
   * `store:ID` for requests of one node to the store.
   */
  async setFault(paths: readonly string[], fault: Partial<PathFault>): Promise<void> {
    const all = [...this.instances.keys()].flatMap((id) => [`gossip:${id}`, `link:${id}`]);
    const names = paths.flatMap((path) => (path === '*' ? all : [path]));
    await this.#put(`${this.#proxyUrl}/faults`, { paths: names, ...fault });
  }

  /** Starts the call generator, which checks its result against the ledgers of all servers. */
  startLoad(args: readonly string[], targets: readonly string[]): () => Promise<LoadOutcome> {
    const generator = new ManagedProcess('call generator', this.#paths.standIns, [
      'call-generator',
      ...targets.flatMap((id) => ['--target', this.instance(id).callUrl]),
      ...[...this.instances.values()].flatMap(({ ledgerFile }) => ['--ledgerFile', ledgerFile]),
      ...['--seed', String(this.options.seed ?? 1), ...args],
    ]);
    return async () => {
      const { output, log } = await generator.waitForExit();
      const line = output.split('\n').findLast((text) => text.startsWith('{'));
      if (!line) throw new Error(`The call generator printed no result:\n${log}`);
      return JSON.parse(line) as LoadOutcome;
    };
  }

  /** Kills every process that this mesh started and deletes its files. */
  async stop(): Promise<void> {
    const instances = [...this.instances.values()];
    instances.forEach(({ node, backendServer }) => {
      node?.resume();
      backendServer?.resume();
    });
    await Promise.all(instances.map((instance) => instance.kill()));
    await this.#proxy?.kill();
    await this.#store?.kill();
    rmSync(this.#paths.workFolder, { recursive: true, force: true });
  }

  #seedsFor(id: string): readonly string[] {
    if (!this.options.hasSeedSettings) return [];
    return [...this.instances.values()]
      .filter(({ plan }) => plan.id !== id)
      .map(({ ports, address }) => `${address}:${ports.advertisedGossip || ports.gossip}`);
  }

  async #startProxy(storePort: number): Promise<void> {
    const controlPort = await allocateFreePort();
    const paths = [...this.instances.values()].flatMap(({ plan, ports, address }) => [
      ...['--path', `gossip:${plan.id}=udp:${address}:${ports.advertisedGossip}:${ports.gossip}`],
      ...['--path', `link:${plan.id}=tcp:${address}:${ports.advertisedLink}:${ports.link}`],
      ...['--path', `store:${plan.id}=tcp:127.0.0.1:${ports.store}:${storePort}`],
    ]);
    this.#proxyUrl = `http://127.0.0.1:${controlPort}`;
    this.#proxy = new ManagedProcess('fault proxy', this.#paths.standIns, [
      'fault-proxy',
      ...['--control-port', String(controlPort), ...paths],
    ]);
    await this.#proxy.waitUntilReady();
  }

  async #put(url: string, body: unknown): Promise<void> {
    const response = await fetch(url, {
      method: 'PUT',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
    if (!response.ok) throw new Error(`PUT ${url} failed with status ${response.status}`);
  }
}
