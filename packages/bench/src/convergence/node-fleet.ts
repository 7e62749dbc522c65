import { fork, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { MemberAnnouncement } from '@sequoiafield/types';
import { build } from 'esbuild';
import type { NodeFigures, NodeMessage, BenchmarkNodeSettings } from './control-messages.js';

/** One started node process. */
export interface NodeChildProcess {
  readonly settings: BenchmarkNodeSettings;
  readonly process: ChildProcess;
  self: MemberAnnouncement | undefined;
  /** Time at which each version became active, in Unix ms. */
  readonly activeAtUnixMs: Map<number, number>;
}

const messageTimeoutMs = 15_000;

/**
 * Bundles the node script and resolves with the path of the bundle; from one bundle, each of many
 * processes starts fast and stays small.
 */
export const bundleScript = async (folder: string, entryPoint: string): Promise<string> => {
  const outfile = join(folder, 'script.mjs');
  await build({
    entryPoints: [fileURLToPath(new URL(entryPoint, import.meta.url))],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    // CommonJS dependencies call require, which ES modules do not have.
    banner: {
      js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
    },
    logLevel: 'error',
  });
  return outfile;
};

/**
 * Starts the node processes of one benchmark, and kills them through their handles.
 *
 * @example
 * const fleet = await NodeFleet.create();
 * const node = await fleet.start(settings);
 * fleet.close();
 */
export class NodeFleet {
  readonly nodes: NodeChildProcess[] = [];

  /** Called when a node reports a version as active. */
  onConfigurationActive: (node: NodeChildProcess, configVersion: number) => void = () => undefined;

  private constructor(
    private readonly folder: string,
    private readonly script: string,
  ) {}

  static async create(): Promise<NodeFleet> {
    const folder = mkdtempSync(join(tmpdir(), 'sequoiafield-bench-'));
    return new NodeFleet(folder, await bundleScript(folder, './control-node.ts'));
  }

  /** Starts a node; resolves once its sockets are bound. */
  async start(settings: BenchmarkNodeSettings): Promise<NodeChildProcess> {
    const child = fork(this.script, [JSON.stringify(settings)], {
      execArgv: ['--max-old-space-size=256'],
    });
    const node: NodeChildProcess = {
      settings,
      process: child,
      self: undefined,
      activeAtUnixMs: new Map(),
    };
    child.on('message', (message: NodeMessage) => {
      if (message.kind !== 'in-force') return;
      node.activeAtUnixMs.set(message.configVersion, message.atUnixMs);
      this.onConfigurationActive(node, message.configVersion);
    });
    this.nodes.push(node);
    const started = await this.#receive(node, 'started');
    node.self = started.self;
    return node;
  }

  /** Kills a node process at once, as a crash would. */
  async kill(node: NodeChildProcess): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1);
    const exited = new Promise((resolve) => {
      node.process.once('exit', resolve);
    });
    node.process.kill('SIGKILL');
    await exited;
  }

  async figures(node: NodeChildProcess): Promise<NodeFigures> {
    const answer = this.#receive(node, 'figures');
    node.process.send({ kind: 'report' });
    return (await answer).figures;
  }

  async close(): Promise<void> {
    for (const node of [...this.nodes]) await this.kill(node);
    rmSync(this.folder, { recursive: true, force: true });
  }

  #receive<K extends NodeMessage['kind']>(
    node: NodeChildProcess,
    kind: K,
  ): Promise<Extract<NodeMessage, { kind: K }>> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () =>
          reject(
            new Error(
              `Node ${node.settings.id} sent no "${kind}" message within ${messageTimeoutMs} ms`,
            ),
          ),
        messageTimeoutMs,
      );
      const onExit = (): void => {
        clearTimeout(timer);
        reject(new Error(`Node ${node.settings.id} exited before it sent a "${kind}" message`));
      };
      const onMessage = (message: NodeMessage): void => {
        if (message.kind !== kind) return;
        clearTimeout(timer);
        node.process.off('message', onMessage);
        node.process.off('exit', onExit);
        resolve(message as Extract<NodeMessage, { kind: K }>);
      };
      node.process.on('message', onMessage);
      node.process.once('exit', onExit);
    });
  }
}
