import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { SequoiafieldError } from '@sequoiafield/errors';
import type { ParentRequest, ProcessorUsage } from './messages.js';

/** Writes a processor profile per process if `CALL_BENCH_PROFILE_DIR` names a folder. */
const profileArgs = (name: string): string[] => {
  const folder = process.env.CALL_BENCH_PROFILE_DIR;
  if (!folder) return [];
  const file = `${name.replaceAll(' ', '-')}.cpuprofile`;
  return ['--cpu-prof', `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${file}`];
};

/** One process of the benchmark. */
export class BenchmarkProcess {
  readonly #process: ChildProcess;

  readonly #ended: Promise<{ error: string }>;

  constructor(
    readonly name: string,
    script: string,
    args: readonly string[] = [],
  ) {
    this.#process = fork(script, [...args], { execArgv: profileArgs(name) });
    this.#ended = once(this.#process, 'exit').then(() => ({ error: 'the process ended' }));
  }

  /** Waits for the next message of the process: its ready message or an answer. */
  async receive<T>(): Promise<T> {
    const arrived = new Promise<{ value?: T; error?: string }>((resolve) => {
      this.#process.once('message', (message) => resolve(message as { value?: T }));
    });
    const message: { value?: T; error?: string } = await Promise.race([arrived, this.#ended]);
    if (message.error) throw new SequoiafieldError(`${this.name}: ${message.error}`);
    return message.value as T;
  }

  async sendRequest<T>(question: ParentRequest): Promise<T> {
    const answer = this.receive<T>();
    this.#process.send(question);
    return answer;
  }

  async usage(): Promise<ProcessorUsage> {
    return this.sendRequest<ProcessorUsage>({ kind: 'usage' });
  }

  async stop(): Promise<void> {
    if (this.#process.exitCode !== null) return;
    this.#process.disconnect();
    await this.#ended;
  }
}
