import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { SequoiafieldError } from '@sequoiafield/errors';
import type { ParentRequest, ProcessorUsage } from './messages.js';

/** Writes a processor profile per process if `CALL_BENCH_PROFILE_DIR` names a folder. */
const createProfileArguments = (name: string): string[] => {
  const folder = process.env.CALL_BENCH_PROFILE_DIR;
  if (!folder) return [];
  const file = `${name.replaceAll(' ', '-')}.cpuprofile`;
  return ['--cpu-prof', `--cpu-prof-dir=${folder}`, `--cpu-prof-name=${file}`];
};

/** Child process of the benchmark that answers the requests of this process. */
export class BenchmarkProcess {
  readonly #process: ChildProcess;

  readonly #exited: Promise<{ error: string }>;

  constructor(
    readonly name: string,
    script: string,
    args: readonly string[] = [],
  ) {
    this.#process = fork(script, [...args], { execArgv: createProfileArguments(name) });
    this.#exited = once(this.#process, 'exit').then(() => ({
      error: 'the process exited before it sent a message',
    }));
  }

  /**
   * Returns the value of the next message, which is the ready message or an answer; throws if the
   * message reports an error or the process exits first.
   */
  async receive<T>(): Promise<T> {
    const received = new Promise<{ value?: T; error?: string }>((resolve) => {
      this.#process.once('message', (message) => resolve(message as { value?: T }));
    });
    const message: { value?: T; error?: string } = await Promise.race([received, this.#exited]);
    if (message.error) throw new SequoiafieldError(`${this.name}: ${message.error}`);
    return message.value as T;
  }

  async sendRequest<T>(request: ParentRequest): Promise<T> {
    const answer = this.receive<T>();
    this.#process.send(request);
    return answer;
  }

  async usage(): Promise<ProcessorUsage> {
    return this.sendRequest<ProcessorUsage>({ kind: 'usage' });
  }

  async stop(): Promise<void> {
    if (this.#process.exitCode !== null) return;
    this.#process.disconnect();
    await this.#exited;
  }
}
