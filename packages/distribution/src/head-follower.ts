import { logEvents, type Logger } from '@sequoiafield/logger';
import { wallNowUnixMs, type RandomSource } from '@sequoiafield/tables';
import {
  RegisterKind,
  type HeadRecord,
  type MemberView,
  type RegisterEntry,
  type RegisterGossip,
} from '@sequoiafield/types';
import type { FetchProgress } from './peer-exchange.js';
import { RejectedSnapshotError } from './rejected-snapshot-error.js';
import type { SectionCache } from './section-cache.js';
import type { FetchOptions, SnapshotFetcher } from './snapshot-fetcher.js';
import type { SnapshotHolder } from './snapshot-holder.js';
import { sleep } from './timing.js';

const headKey = 'head';
const retryMinMs = 200;
const retryMaxMs = 5000;
/** A head accepted longer ago is held by peers, so that a joining node need not ask the store. */
const newHeadMs = 3000;

/** What a follower needs of its node. */
export interface HeadFollowerDependencies {
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly holder: SnapshotHolder;
  readonly cache: SectionCache;
  readonly fetcher: Pick<SnapshotFetcher, 'fetch' | 'isWaitingForStore'>;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Follows the `Head` register: fetches the newest version, one at a time, until it is in force.
 *
 * @example
 * follower.publish(await source.readHead());
 */
export class HeadFollower implements FetchProgress {
  #head: HeadRecord | undefined;

  #senderId: string | undefined;

  #refusedVersion = 0;

  #isBusy = false;

  #isStopped = false;

  #isExtending = false;

  #isFetching = false;

  #waiting: (() => void)[] = [];

  constructor(private readonly parts: HeadFollowerDependencies) {
    parts.registers.subscribe(RegisterKind.Head, (entry, fromId) => this.#onHead(entry, fromId));
  }

  get head(): HeadRecord | undefined {
    return this.#head;
  }

  /** Spreads a head that was read from the store; an older one changes nothing. */
  publish(head: HeadRecord): void {
    const rank = head.configVersion;
    this.parts.registers.publish({ kind: RegisterKind.Head, key: headKey, rank, body: head });
  }

  /** Adds wanted sections to the snapshot in force. */
  addWantedSections(): void {
    this.#isExtending = true;
    this.#wake();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async whenFetchEnded(timeoutMs: number): Promise<void> {
    if (!this.#isFetching || this.parts.fetcher.isWaitingForStore) return;
    const end = new Promise<void>((resolve) => {
      this.#waiting.push(resolve);
    });
    await Promise.race([end, sleep(timeoutMs)]);
  }

  #onHead(entry: RegisterEntry, fromId: string): void {
    const head = entry.body as HeadRecord;
    if (typeof head?.manifestDigest !== 'string' || head.configVersion !== entry.rank) return;
    this.#head = head;
    this.#senderId = fromId === this.parts.members.selfId ? undefined : fromId;
    this.#wake();
  }

  #wake(): void {
    if (this.#isBusy || this.#isStopped) return;
    this.#isBusy = true;
    this.#followAll().finally(() => {
      this.#isBusy = false;
    });
  }

  #isDone(): boolean {
    const head = this.#head;
    if (!head || this.#isStopped || head.configVersion <= this.#refusedVersion) return true;
    return !this.parts.holder.isBehind(head) && !this.#isExtending;
  }

  async #followAll(): Promise<void> {
    let retryMs = retryMinMs;
    while (!this.#isDone()) {
      const isInForce = await this.#followOnce(this.#head as HeadRecord);
      if (isInForce) retryMs = retryMinMs;
      else if (!this.#isDone()) {
        await sleep(retryMs * (0.5 + this.parts.random.next()));
        retryMs = Math.min(retryMaxMs, retryMs * 2);
      }
    }
  }

  async #followOnce(head: HeadRecord): Promise<boolean> {
    const { holder, cache, fetcher, logger } = this.parts;
    this.#isFetching = true;
    const wasExtending = this.#isExtending;
    this.#isExtending = false;
    try {
      const snapshot = await fetcher.fetch(head, this.#originOf(head));
      const isNewer = holder.isBehind(head);
      const isSwapped = holder.swap(snapshot);
      if (isSwapped && isNewer) {
        cache.dropUnused();
        const ageMs = wallNowUnixMs() - head.acceptedAtUnixMs;
        logger.log(logEvents.snapshotInForce, { configVersion: head.configVersion, ageMs });
      }
      return true;
    } catch (error) {
      if (error instanceof RejectedSnapshotError) {
        this.#refusedVersion = head.configVersion;
        const reason = (error as Error).message;
        logger.log(logEvents.snapshotRefused, { configVersion: head.configVersion, reason });
      }
      this.#isExtending ||= wasExtending;
      return false;
    } finally {
      this.#isFetching = false;
      for (const resolve of this.#waiting.splice(0)) resolve();
    }
  }

  #originOf(head: HeadRecord): FetchOptions {
    const isNew = wallNowUnixMs() - head.acceptedAtUnixMs < newHeadMs;
    const senderId = this.#senderId;
    const { holder } = this.parts;
    // Nodes that start together would all read every section; one that has a version reads a few.
    const isStoreFirst =
      senderId === undefined && isNew && holder.version > 0 && holder.isBehind(head);
    return { senderId, isStoreFirst, isSuperseded: () => this.#head !== head || this.#isStopped };
  }
}
