import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

const readyTimeoutMs = 20_000;
const logLineCountMax = 400;

/** Process that a test started; signals are sent to its process id only. */
export class ManagedProcess {
  readonly #child: ChildProcess;

  readonly #exited: Promise<number | null>;

  readonly #logLines: string[] = [];

  readonly #outputLines: string[] = [];

  #outputWaiters: (() => void)[] = [];

  constructor(
    readonly name: string,
    script: string,
    args: readonly string[],
    env: Readonly<Record<string, string>> = {},
  ) {
    this.#child = spawn(process.execPath, [script, ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...env },
    });
    this.#exited = new Promise((resolve) => {
      this.#child.once('exit', (code) => {
        resolve(code);
        this.#notifyOutputWaiters();
      });
    });
    createInterface({ input: this.#child.stdout! }).on('line', (line) => {
      this.#outputLines.push(line);
      this.#notifyOutputWaiters();
    });
    createInterface({ input: this.#child.stderr! }).on('line', (line) => {
      this.#logLines.push(line);
      if (this.#logLines.length > logLineCountMax) this.#logLines.shift();
    });
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Returns the last lines of standard error, for the message of a failed test. */
  logTail(lines = 30): string {
    return this.#logLines.slice(-lines).join('\n');
  }

  /** Waits for the first line of standard output and parses it as a JSON object. */
  async waitUntilReady(): Promise<Record<string, unknown>> {
    const deadlineUnixMs = Date.now() + readyTimeoutMs;
    while (this.#outputLines.length === 0) {
      if (!this.isRunning || Date.now() > deadlineUnixMs) {
        throw new Error(`${this.name} did not start:\n${this.logTail()}`);
      }
      await this.#waitForOutput(deadlineUnixMs - Date.now());
    }
    return JSON.parse(this.#outputLines[0]!) as Record<string, unknown>;
  }

  /** Waits for the exit; returns its status, the standard output and the last lines of the log. */
  async waitForExit(): Promise<{ code: number | null; output: string; log: string }> {
    const code = await this.#exited;
    return { code, output: this.#outputLines.join('\n'), log: this.logTail() };
  }

  pause(): void {
    this.#child.kill('SIGSTOP');
  }

  resume(): void {
    this.#child.kill('SIGCONT');
  }

  /** Sends SIGTERM, waits for the exit and returns the exit status. */
  async terminate(): Promise<number | null> {
    this.#child.kill('SIGTERM');
    return this.#exited;
  }

  async kill(): Promise<void> {
    if (!this.isRunning) return;
    this.#child.kill('SIGKILL');
    await this.#exited;
  }

  #notifyOutputWaiters(): void {
    const waiters = this.#outputWaiters;
    this.#outputWaiters = [];
    waiters.forEach((resolve) => resolve());
  }

  #waitForOutput(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#outputWaiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
