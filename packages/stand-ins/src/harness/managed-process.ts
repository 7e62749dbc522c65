import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

const readyTimeoutMs = 20_000;
const keptLogLines = 400;

/** Process that a test started; only its own id is ever signalled. */
export class ManagedProcess {
  readonly #child: ChildProcess;

  readonly #exited: Promise<number | null>;

  readonly #logLines: string[] = [];

  readonly #outputLines: string[] = [];

  #onOutput: (() => void)[] = [];

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
        this.#wake();
      });
    });
    createInterface({ input: this.#child.stdout! }).on('line', (line) => {
      this.#outputLines.push(line);
      this.#wake();
    });
    createInterface({ input: this.#child.stderr! }).on('line', (line) => {
      this.#logLines.push(line);
      if (this.#logLines.length > keptLogLines) this.#logLines.shift();
    });
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  /** Last lines of the log, for the message of a failed test. */
  logTail(lines = 30): string {
    return this.#logLines.slice(-lines).join('\n');
  }

  /** Waits for the first line of standard output, which must be a JSON object. */
  async waitUntilReady(): Promise<Record<string, unknown>> {
    const deadline = Date.now() + readyTimeoutMs;
    while (this.#outputLines.length === 0) {
      if (!this.isRunning || Date.now() > deadline) {
        throw new Error(`${this.name} did not start:\n${this.logTail()}`);
      }
      await this.#nextOutput(deadline - Date.now());
    }
    return JSON.parse(this.#outputLines[0]!) as Record<string, unknown>;
  }

  /** Waits for the exit and returns the status and everything printed. */
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

  /** Asks for a graceful shutdown and waits for the exit. */
  async terminate(): Promise<number | null> {
    this.#child.kill('SIGTERM');
    return this.#exited;
  }

  async kill(): Promise<void> {
    if (!this.isRunning) return;
    this.#child.kill('SIGKILL');
    await this.#exited;
  }

  #wake(): void {
    const waiting = this.#onOutput;
    this.#onOutput = [];
    waiting.forEach((resolve) => resolve());
  }

  #nextOutput(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, timeoutMs);
      this.#onOutput.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
