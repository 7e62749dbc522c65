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
/** Peers hold a head that was accepted longer ago, so that a joining node need not read the store. */
const newHeadAgeMaxMs = 3000;

/** Dependencies of a `HeadFollower`. */
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
 * Follows the `Head` register: fetches the newest version, one at a time, until it is active.
 *
 * @example
 * follower.publish(await configurationStore.readHead());
 */
export class HeadFollower implements FetchProgress {
  #head: HeadRecord | undefined;

  #senderId: string | undefined;

  #rejectedVersion = 0;

  #isFollowing = false;

  #isStopped = false;

  #hasNewWantedSections = false;

  #isFetching = false;

  #fetchEndCallbacks: (() => void)[] = [];

  constructor(private readonly dependencies: HeadFollowerDependencies) {
    dependencies.registers.subscribe(RegisterKind.Head, (entry, fromId) =>
      this.#onHead(entry, fromId),
    );
  }

  get head(): HeadRecord | undefined {
    return this.#head;
  }

  /** Publishes a head that was read from the store; an older one is ignored. */
  publish(head: HeadRecord): void {
    const rank = head.configVersion;
    this.dependencies.registers.publish({
      kind: RegisterKind.Head,
      key: headKey,
      rank,
      body: head,
    });
  }

  /** Starts a fetch that adds newly wanted sections to the active snapshot. */
  addWantedSections(): void {
    this.#hasNewWantedSections = true;
    this.#startFollowing();
  }

  stop(): void {
    this.#isStopped = true;
  }

  async whenFetchEnded(timeoutMs: number): Promise<void> {
    if (!this.#isFetching || this.dependencies.fetcher.isWaitingForStore) return;
    const fetchEnd = new Promise<void>((resolve) => {
      this.#fetchEndCallbacks.push(resolve);
    });
    await Promise.race([fetchEnd, sleep(timeoutMs)]);
  }

  #onHead(entry: RegisterEntry, fromId: string): void {
    const head = entry.body as HeadRecord;
    if (typeof head?.manifestDigest !== 'string' || head.configVersion !== entry.rank) return;
    this.#head = head;
    this.#senderId = fromId === this.dependencies.members.selfId ? undefined : fromId;
    this.#startFollowing();
  }

  #startFollowing(): void {
    if (this.#isFollowing || this.#isStopped) return;
    this.#isFollowing = true;
    this.#followAll().finally(() => {
      this.#isFollowing = false;
    });
  }

  #isDone(): boolean {
    const head = this.#head;
    if (!head || this.#isStopped || head.configVersion <= this.#rejectedVersion) return true;
    return !this.dependencies.holder.isBehind(head) && !this.#hasNewWantedSections;
  }

  async #followAll(): Promise<void> {
    let retryMs = retryMinMs;
    while (!this.#isDone()) {
      const isActive = await this.#followOnce(this.#head as HeadRecord);
      if (isActive) retryMs = retryMinMs;
      else if (!this.#isDone()) {
        await sleep(retryMs * (0.5 + this.dependencies.random.next()));
        retryMs = Math.min(retryMaxMs, retryMs * 2);
      }
    }
  }

  async #followOnce(head: HeadRecord): Promise<boolean> {
    const { holder, cache, fetcher, logger } = this.dependencies;
    this.#isFetching = true;
    const hadNewWantedSections = this.#hasNewWantedSections;
    this.#hasNewWantedSections = false;
    try {
      const snapshot = await fetcher.fetch(head, this.#fetchOptionsFor(head));
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
        this.#rejectedVersion = head.configVersion;
        const reason = (error as Error).message;
        logger.log(logEvents.snapshotRefused, { configVersion: head.configVersion, reason });
      }
      this.#hasNewWantedSections ||= hadNewWantedSections;
      return false;
    } finally {
      this.#isFetching = false;
      for (const resolve of this.#fetchEndCallbacks.splice(0)) resolve();
    }
  }

  #fetchOptionsFor(head: HeadRecord): FetchOptions {
    const isNew = wallNowUnixMs() - head.acceptedAtUnixMs < newHeadAgeMaxMs;
    const senderId = this.#senderId;
    const { holder } = this.dependencies;
    // Nodes without a version ask peers first: starting together, each would read every section from the
    // store, while a node with a version reads only the changed ones.
    const isStoreFirst =
      senderId === undefined && isNew && holder.version > 0 && holder.isBehind(head);
    return { senderId, isStoreFirst, isSuperseded: () => this.#head !== head || this.#isStopped };
  }
}
