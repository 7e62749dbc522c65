import type { HeadRecord } from '@sequoiafield/types';
import type { ConfigReader, HeadWithRevision } from './config-reader.js';
import { AcceptConflictError, AcceptUnknownError } from './errors.js';

/** Reads of the head after a lost answer; with the pause they span about a second. */
const readsMax = 5;
const pauseBetweenReadsMs = 250;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Finds out by reads alone whether a head swap took effect. */
export class HeadSwapResolver {
  readonly #reader: ConfigReader;

  readonly #base: HeadWithRevision | undefined;

  readonly #record: HeadRecord;

  constructor(reader: ConfigReader, base: HeadWithRevision | undefined, record: HeadRecord) {
    this.#reader = reader;
    this.#base = base;
    this.#record = record;
  }

  /**
   * The answer to the swap was lost: returns the accepted record if it was this operation's.
   *
   * @throws AcceptConflictError if another operation took the version, AcceptUnknownError if the
   * reads fail or the head is still the old one, since the lost request may yet arrive.
   */
  async resolveLostAnswer(cause: unknown): Promise<HeadRecord> {
    let seen = 'the head could not be read back';
    for (let read = 0; read < readsMax; read += 1) {
      if (read > 0) await pause(pauseBetweenReadsMs);
      try {
        const head = await this.#reader.readHead();
        if (head && head.revision !== this.#base?.revision) return await this.#decide(head.record);
        seen = `the head is still version ${this.#base?.record.configVersion ?? 0}`;
      } catch (error) {
        if (error instanceof AcceptConflictError) throw error;
      }
    }
    const { operationId, configVersion } = this.#record;
    throw new AcceptUnknownError(
      `Whether version ${configVersion} was accepted is unknown: the answer was lost and ${seen}. ` +
        `Find out with "sequoiafield history --operation-id ${operationId}". Cause:`,
      { cause, props: { operationId, configVersion } },
    );
  }

  /** The swap was refused, since the head has another revision. */
  async resolveConflict(): Promise<HeadRecord> {
    const head = await this.#reader.readHead().catch(() => undefined);
    if (head) return this.#decide(head.record);
    throw this.#conflict(undefined);
  }

  /** Decides from a head that is not the one that this operation was based on. */
  async #decide(current: HeadRecord): Promise<HeadRecord> {
    if (current.operationId === this.#record.operationId) return current;
    // If the head has moved on further, the history has the entry of the version in question.
    const inQuestion =
      current.configVersion > this.#record.configVersion
        ? await this.#reader.readHistoryEntry(this.#record.configVersion)
        : current;
    if (inQuestion?.operationId === this.#record.operationId) return inQuestion;
    throw this.#conflict(inQuestion ?? current);
  }

  #conflict(current: HeadRecord | undefined): InstanceType<typeof AcceptConflictError> {
    const who = current
      ? `version ${current.configVersion} by ${current.author || 'an unnamed operator'}`
      : 'another version';
    return new AcceptConflictError(`Nothing was accepted; ${who} was accepted first`, {
      props: {
        baseConfigVersion: this.#base?.record.configVersion ?? 0,
        currentHead: current,
      },
    });
  }
}
