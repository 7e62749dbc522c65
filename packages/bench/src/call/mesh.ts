import { join } from 'node:path';
import { bundleProcesses } from './bundle.js';
import { Child } from './child.js';
import type { LoadOptions, LoadResult, PeerPorts } from './messages.js';

/** One phase of the benchmark. */
export interface Phase {
  readonly path: 'two nodes' | 'own backend server';
  readonly method: 'GET' | 'POST';
  readonly callsPerSecond: number;
}

/** Processes of one run: a backend server, two nodes and the load generator. */
export class Mesh {
  #backendServer!: Child;

  #load!: Child;

  #near!: Child;

  #far!: Child;

  #ports!: { backend: number; near: PeerPorts; far: PeerPorts };

  async start(): Promise<void> {
    const folder = await bundleProcesses();
    const script = (name: string): string => join(folder, `${name}.cjs`);
    this.#backendServer = new Child('backend server', script('backend-process'));
    this.#load = new Child('load', script('load-process'));
    const { port } = await this.#backendServer.receive<{ port: number }>();
    await this.#load.receive();
    const origin = `http://127.0.0.1:${port}`;
    this.#near = new Child('node A', script('node-process'), ['a', origin]);
    this.#far = new Child('node B', script('node-process'), ['b', origin]);
    const near = await this.#near.receive<PeerPorts>();
    const far = await this.#far.receive<PeerPorts>();
    this.#ports = { backend: port, near, far };
    await this.#near.ask({ kind: 'members', members: [far] });
    await this.#far.ask({ kind: 'members', members: [far] });
  }

  /** Runs a phase; processor time per call is that of the mesh calls of the phase. */
  async run(phase: Phase, durationMs: number) {
    const { backend, near, far } = this.#ports;
    const first = phase.path === 'two nodes' ? near : far;
    const load: LoadOptions = {
      directOrigin: `http://127.0.0.1:${backend}`,
      meshOrigin: `http://127.0.0.1:${first.callPort}`,
      method: phase.method,
      callsPerSecond: phase.callsPerSecond,
      durationMs,
    };
    const before = await this.#usages();
    const result = await this.#load.ask<LoadResult>({ kind: 'load', load });
    const after = await this.#usages();
    // The warm-up of one second is part of the processor time, so it counts as calls here.
    const calls = phase.callsPerSecond * (1 + durationMs / 1000);
    const perCallUs = after.map((usage, at) => Math.round((usage - before[at]!) / calls));
    return { result, nearUs: perCallUs[0]!, farUs: perCallUs[1]! };
  }

  async stop(): Promise<void> {
    const children = [this.#load, this.#near, this.#far, this.#backendServer];
    await Promise.all(children.map((child) => child?.stop()));
  }

  async #usages(): Promise<number[]> {
    return [(await this.#near.usage()).processorUs, (await this.#far.usage()).processorUs];
  }
}
