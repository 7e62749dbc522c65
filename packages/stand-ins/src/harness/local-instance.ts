import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { BehaviourChange } from '../backend-server/behaviour.js';
import { allocateFreePort } from './free-ports.js';
import { ManagedProcess } from './managed-process.js';

/** Description of an instance to start: a backend server and the node beside it. */
export interface InstancePlan {
  readonly id: string;
  /** Loopback address of the node, 127.0.0.1 by default; a fault can be limited to it. */
  readonly address?: string;
  readonly dataCentre: string;
  readonly region?: string;
  readonly service: string;
  readonly backendVersion: string;
  readonly behaviour?: BehaviourChange;
}

/** Paths of the two bundles and of the working folder. */
export interface HarnessPaths {
  readonly command: string;
  readonly standIns: string;
  readonly workFolder: string;
}

/** Ports of an instance; the advertised ones are those of the fault proxy, 0 without it. */
export interface InstancePorts {
  readonly gossip: number;
  readonly link: number;
  readonly call: number;
  readonly admin: number;
  readonly backendServer: number;
  readonly advertisedGossip: number;
  readonly advertisedLink: number;
  /** Port of the fault proxy for requests to the store; 0 without it. */
  readonly store: number;
}

/**
 * Allocates the ports of an instance.
 *
 * @example
 * const ports = await allocateInstancePorts(true);
 */
export const allocateInstancePorts = async (
  isProxied: boolean,
  address = '127.0.0.1',
): Promise<InstancePorts> => ({
  gossip: await allocateFreePort(address),
  link: await allocateFreePort(address),
  call: await allocateFreePort(address),
  admin: await allocateFreePort(),
  backendServer: await allocateFreePort(),
  advertisedGossip: isProxied ? await allocateFreePort(address) : 0,
  advertisedLink: isProxied ? await allocateFreePort(address) : 0,
  store: isProxied ? await allocateFreePort() : 0,
});

/** One instance of a local mesh: a node process and a backend server process. */
export class LocalInstance {
  node: ManagedProcess | undefined;

  backendServer: ManagedProcess | undefined;

  constructor(
    readonly plan: InstancePlan,
    readonly ports: InstancePorts,
    private readonly paths: HarnessPaths,
    private readonly storeUrl: string,
    /** Gossip endpoints for the settings; without any, the node reads its seeds from the store. */
    private readonly seeds: () => readonly string[] = () => [],
  ) {}

  get address(): string {
    return this.plan.address ?? '127.0.0.1';
  }

  get callUrl(): string {
    return `http://${this.address}:${this.ports.call}`;
  }

  get adminUrl(): string {
    return `http://127.0.0.1:${this.ports.admin}`;
  }

  get backendUrl(): string {
    return `http://127.0.0.1:${this.ports.backendServer}`;
  }

  get ledgerFile(): string {
    return join(this.paths.workFolder, `${this.plan.id}.ledger`);
  }

  async start(): Promise<void> {
    this.startBackendServer();
    this.startNode();
    await Promise.all([this.backendServer?.waitUntilReady(), this.node?.waitUntilReady()]);
  }

  startNode(): void {
    const file = join(this.paths.workFolder, `${this.plan.id}.ini`);
    writeFileSync(file, this.#settings());
    this.node = new ManagedProcess(`node ${this.plan.id}`, this.paths.command, [
      'node',
      '--settings',
      file,
    ]);
  }

  startBackendServer(): void {
    const { id, service, backendVersion, behaviour } = this.plan;
    this.backendServer = new ManagedProcess(`backend server ${id}`, this.paths.standIns, [
      'backend-server',
      ...['--id', id, '--service', service, '--backendVersion', backendVersion],
      ...['--port', String(this.ports.backendServer), '--admin', this.adminUrl],
      ...['--behaviour', JSON.stringify(behaviour ?? {}), '--ledgerFile', this.ledgerFile],
    ]);
  }

  /** Changes the behaviour of the backend server while it runs. */
  async changeBehaviour(behaviour: BehaviourChange): Promise<void> {
    const response = await fetch(`${this.backendUrl}/-/control`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(behaviour),
    });
    if (!response.ok)
      throw new Error(`${this.plan.id} rejected a behaviour change: status ${response.status}`);
  }

  /** Makes the backend server cold without a restart; its node is not notified. */
  async turnCold(): Promise<void> {
    const response = await fetch(`${this.backendUrl}/-/cold`, { method: 'POST' });
    if (!response.ok)
      throw new Error(`${this.plan.id} did not turn cold: status ${response.status}`);
  }

  async state(): Promise<Record<string, unknown>> {
    const response = await fetch(`${this.adminUrl}/v1/state`, {
      signal: AbortSignal.timeout(2000),
    });
    return (await response.json()) as Record<string, unknown>;
  }

  async kill(): Promise<void> {
    await Promise.all([this.node?.kill(), this.backendServer?.kill()]);
  }

  #settings(): string {
    const { plan, ports } = this;
    return [
      '[node]',
      `id = ${plan.id}`,
      `address = ${this.address}`,
      `region = ${plan.region ?? 'local'}`,
      `data_centre = ${plan.dataCentre}`,
      `gossip_port = ${ports.gossip}`,
      `link_port = ${ports.link}`,
      `call_port = ${ports.call}`,
      `admin_port = ${ports.admin}`,
      `advertised_gossip_port = ${ports.advertisedGossip}`,
      `advertised_link_port = ${ports.advertisedLink}`,
      '[backend_server]',
      `service = ${plan.service}`,
      `version = ${plan.backendVersion}`,
      `port = ${ports.backendServer}`,
      'health_path = /-/health',
      '[store]',
      `url = ${this.storeUrl}`,
      '[gossip]',
      `seeds = ${this.seeds().join(',')}`,
      '',
    ].join('\n');
  }
}
