import type { BodyMemory } from '@sequoiafield/calls';
import { logEvents, type Logger } from '@sequoiafield/logger';
import type { System, Tick } from '@sequoiafield/tables';

/** Time between two lines about a lack of memory, which may last for long. */
const lineIntervalMs = 5000;

/** Logs that bodies were refused for lack of memory. */
export class BodyMemoryLog implements System {
  readonly name = 'body-memory-log';

  #loggedRefusals = 0;

  #nextLineAtMs = 0;

  constructor(
    private readonly memory: BodyMemory,
    private readonly logger: Logger,
  ) {}

  run(tick: Pick<Tick, 'nowMs'>): void {
    const { node, server } = this.memory;
    const refusals = node.refusals + server.refusals;
    if (refusals === this.#loggedRefusals || tick.nowMs < this.#nextLineAtMs) return;
    this.#nextLineAtMs = tick.nowMs + lineIntervalMs;
    this.logger.log(logEvents.bodyMemoryFull, {
      refused: refusals - this.#loggedRefusals,
      nodeBytes: node.heldBytes,
      nodeMaxBytes: node.maxBytes,
      serverBytes: server.heldBytes,
      serverMaxBytes: server.maxBytes,
    });
    this.#loggedRefusals = refusals;
  }
}
