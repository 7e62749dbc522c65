import type { CommandContext } from './command-context.js';

/** Shows progress in one line of the terminal; writes nothing without one or with `--json`. */
export class ProgressLine {
  readonly #context: CommandContext;

  readonly #isShown: boolean;

  constructor(context: CommandContext, isJson: boolean) {
    this.#context = context;
    this.#isShown = context.isTerminal && !isJson;
  }

  show(text: string): void {
    if (this.#isShown) this.#context.writeError(`\r\u001b[K${text}`);
  }

  clear(): void {
    if (this.#isShown) this.#context.writeError('\r\u001b[K');
  }
}
