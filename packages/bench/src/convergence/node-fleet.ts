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
  /** When each version came into force, in Unix ms. */
  readonly activeAtUnixMs: Map<number, number>;
}

const messageTimeoutMs = 15_000;

/**
 * Bundles the node script once, so that each of many processes starts fast and stays small.
 * Resolves with its path.
 */
export const bundleScript = async (folder: string, source: string): Promise<string> => {
  const outfile = join(folder, 'script.mjs');
  await build({
    entryPoints: [fileURLToPath(new URL(source, import.meta.url))],
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
 * Node processes of one benchmark, ended by their handles.
 *
 * @example
 * const fleet = await NodeFleet.create();
 * const node = await fleet.start(settings);
 * fleet.close();
 */
export class NodeFleet {
  readonly nodes: NodeChildProcess[] = [];

  /** Called when a node reports a version in force. */
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
    const started = await this.#next(node, 'started');
    node.self = started.self;
    return node;
  }

  /** Ends a node at once, as a crash does. */
  async kill(node: NodeChildProcess): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1);
    const ended = new Promise((resolve) => {
      node.process.once('exit', resolve);
    });
    node.process.kill('SIGKILL');
    await ended;
  }

  async figures(node: NodeChildProcess): Promise<NodeFigures> {
    const answer = this.#next(node, 'figures');
    node.process.send({ kind: 'report' });
    return (await answer).figures;
  }

  async close(): Promise<void> {
    for (const node of [...this.nodes]) await this.kill(node);
    rmSync(this.folder, { recursive: true, force: true });
  }

  #next<K extends NodeMessage['kind']>(
    node: NodeChildProcess,
    kind: K,
  ): Promise<Extract<NodeMessage, { kind: K }>> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${node.settings.id} sent no "${kind}"`)),
        messageTimeoutMs,
      );
      const onExit = (): void => {
        clearTimeout(timer);
        reject(new Error(`${node.settings.id} ended before it sent "${kind}"`));
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
