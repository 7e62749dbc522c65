import type { HeadRecord } from '@sequoiafield/types';
import type { ConfigReader, HeadWithRevision } from './config-reader.js';
import { AcceptConflictError, AcceptUnknownError } from './errors.js';

/** Reads of the head after a lost answer; with the pauses they span about a second. */
const headReadsMax = 5;
const headReadPauseMs = 250;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** Determines by reads alone whether a head swap took effect. */
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
   * Determines the outcome of a swap whose answer was lost: returns the accepted record if it is
   * this operation's.
   *
   * @throws AcceptConflictError if another operation's record has this version, AcceptUnknownError if
   * the reads fail or the head is still the old one, since the lost request may still arrive.
   */
  async resolveLostAnswer(cause: unknown): Promise<HeadRecord> {
    let observation = 'the head could not be read back';
    for (let read = 0; read < headReadsMax; read += 1) {
      if (read > 0) await pause(headReadPauseMs);
      try {
        const head = await this.#reader.readHead();
        if (head && head.revision !== this.#base?.revision)
          return await this.#resolveFromHead(head.record);
        observation = `the head is still version ${this.#base?.record.configVersion ?? 0}`;
      } catch (error) {
        if (error instanceof AcceptConflictError) throw error;
      }
    }
    const { operationId, configVersion } = this.#record;
    throw new AcceptUnknownError(
      `Whether version ${configVersion} was accepted is unknown: the answer was lost and ${observation}. ` +
        `Find out with "sequoiafield history --operation-id ${operationId}". Cause:`,
      { cause, props: { operationId, configVersion } },
    );
  }

  /** Determines the outcome of a swap that failed because the head has another revision. */
  async resolveConflict(): Promise<HeadRecord> {
    const head = await this.#reader.readHead().catch(() => undefined);
    if (head) return this.#resolveFromHead(head.record);
    throw this.#conflict(undefined);
  }

  /** Determines the outcome from a head other than the one that this operation was based on. */
  async #resolveFromHead(current: HeadRecord): Promise<HeadRecord> {
    if (current.operationId === this.#record.operationId) return current;
    // If the head is a later version, the history has the entry of this operation's version.
    const recordOfVersion =
      current.configVersion > this.#record.configVersion
        ? await this.#reader.readHistoryEntry(this.#record.configVersion)
        : current;
    if (recordOfVersion?.operationId === this.#record.operationId) return recordOfVersion;
    throw this.#conflict(recordOfVersion ?? current);
  }

  #conflict(current: HeadRecord | undefined): InstanceType<typeof AcceptConflictError> {
    const acceptedVersion = current
      ? `version ${current.configVersion} by ${current.author || 'an unnamed operator'}`
      : 'another version';
    return new AcceptConflictError(`Nothing was accepted; ${acceptedVersion} was accepted first`, {
      props: {
        baseConfigVersion: this.#base?.record.configVersion ?? 0,
        currentHead: current,
      },
    });
  }
}
