import { logEvents, type Logger } from '@sequoiafield/logger';
import type { Membership } from '@sequoiafield/membership';
import { eraOf, type RangeStore, type StoreRange } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { MemberState, type Seed } from '@sequoiafield/types';
import { RecordRewrite } from './record-rewrite.js';
import { decodeSeeds, encodeSeeds, type SeedsRecord } from './seeds-record.js';

/** Key of the only seeds record; with a single key a later writer sees all earlier entries. */
export const seedsKey = 'sequoiafield/seeds';
/**
 * Maximum number of seeds in the record; some of them survive the loss of a data centre and a third
 * of the rest.
 */
const seedsMax = 6;
/** Mean interval between reads of the record by a node that knows no other node. */
const aloneReadIntervalMs = 600;
/** Mean read interval per known member, so that the whole fleet reads the record once in 10 s. */
const readIntervalPerMemberMs = 10_000;
/**
 * Longest time from the start after which a node that found no seeds writes itself. The times of a
 * fleet that starts at once lie late in it, so that few nodes write before the others see the first.
 */
const firstWriteDelayMaxMs = 4000;
/** Time without an answer of the record's seeds after which a node writes itself. */
const silentSeedsMs = 2000;
/** Nodes of the fleet that look some seconds after they joined whether the record has room. */
const earlyReadersCount = 8;
/** Shortest time after joining and random addition to it until those nodes look. */
const earlyReadDelayMinMs = 3000;
const earlyReadDelaySpreadMs = 3000;

/** Dependencies of a `SeedRegistrar`. */
export interface SeedRegistrarOptions {
  readonly self: Seed;
  readonly membership: Membership;
  readonly store: RangeStore;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Returns the era of the store; it is 0 if left out. */
  readonly storeEra?: () => number;
}

/**
 * Joins the fleet through the seeds record in the store and keeps live nodes in that record.
 *
 * Answers a fleet of hundreds of nodes that starts at once: each reads the record, with reads that may
 * be some seconds old and cost little, but only a few write. A node that peers already know reads and
 * writes next to nothing. After a restore of the store from an older copy, the first live seed
 * writes the lost seeds again.
 *
 * @example
 * const registrar = new SeedRegistrar({ self, membership, store, random, logger });
 */
export class SeedRegistrar implements System {
  readonly name = 'seed-registrar';

  #nextReadAtMs = 0;

  #isBusy = false;

  #hasJoined = false;

  /** When this node writes itself if it knows no other node by then; set at the first tick. */
  #writesSelfAtMs: number | undefined;

  /** When this node decides whether it is one of the early readers; set once it knows another node. */
  #earlyReadAtMs: number | undefined;

  /** Latest record that was read. */
  #record: SeedsRecord = { seeds: [], revision: 0 };

  /** Era of the store in which that record was read. */
  #recordEra = 0;

  readonly #rewrite = new RecordRewrite();

  constructor(private readonly options: SeedRegistrarOptions) {}

  run(tick: Tick): void {
    // The cube root moves the times of many nodes towards the end of the delay.
    this.#writesSelfAtMs ??=
      tick.nowMs + firstWriteDelayMaxMs * Math.cbrt(this.options.random.next());
    const { self, storeEra } = this.options;
    this.#rewrite.noteEra(storeEra?.() ?? 0, this.#record.seeds, self.id, tick.nowMs);
    if (this.#isBusy) return;
    const isRewriteDue = this.#rewrite.isDue(tick.nowMs);
    if (!isRewriteDue && (tick.nowMs < this.#nextReadAtMs || !this.#isReadDue(tick.nowMs))) return;
    this.#isBusy = true;
    (isRewriteDue ? this.#rewriteRecord(tick.nowMs) : this.#refreshRecord(tick.nowMs))
      .catch((error: unknown) => {
        this.options.logger.log(logEvents.seedsUnavailable, { error: String(error) });
      })
      .finally(() => {
        this.#isBusy = false;
        this.#scheduleRead();
      });
  }

  #isAlone(): boolean {
    return this.options.membership.view.fleetSize() <= 1;
  }

  /** Whether to read now; a node that has just met the others leaves it to a few of them. */
  #isReadDue(nowMs: number): boolean {
    if (this.#isAlone()) return true;
    const { random, membership } = this.options;
    if (this.#earlyReadAtMs === undefined) {
      this.#earlyReadAtMs = nowMs + earlyReadDelayMinMs + earlyReadDelaySpreadMs * random.next();
      this.#nextReadAtMs = this.#earlyReadAtMs;
      return false;
    }
    if (this.#earlyReadAtMs === Number.POSITIVE_INFINITY) return true;
    this.#earlyReadAtMs = Number.POSITIVE_INFINITY;
    if (random.next() * membership.view.fleetSize() < earlyReadersCount) return true;
    this.#scheduleRead();
    return false;
  }

  #scheduleRead(): void {
    if (!this.#isAlone() && this.#earlyReadAtMs === undefined) {
      this.#nextReadAtMs = 0;
      return;
    }
    const fleetSize = this.options.membership.view.fleetSize();
    const meanMs = this.#isAlone() ? aloneReadIntervalMs : readIntervalPerMemberMs * fleetSize;
    this.#nextReadAtMs = monotonicNowMs() + meanMs * (0.5 + this.options.random.next());
  }

  async #refreshRecord(nowMs: number): Promise<void> {
    const wasAlone = this.#isAlone();
    if (wasAlone && nowMs >= (this.#writesSelfAtMs ?? 0)) {
      this.#writesSelfAtMs = nowMs + silentSeedsMs;
      await this.#write();
      return;
    }
    const range = await this.options.store.readRange(seedsKey, { mayBeStale: true });
    this.#useRange(range, nowMs);
    if (!wasAlone && this.#hasRoom()) await this.#write();
  }

  /** Writes the seeds of a former era again that the record lacks. */
  async #rewriteRecord(nowMs: number): Promise<void> {
    this.#rewrite.delay(nowMs);
    this.#useRange(await this.options.store.readRange(seedsKey), nowMs);
    const lost = this.#rewrite.lostSeeds(this.#record.seeds);
    const lostLive = lost.filter(({ id }) => !this.#isDeadOrLeft(id));
    const isLacking = lostLive.length > 0 && this.#liveSeeds().length < seedsMax;
    if (!isLacking || (await this.#write(lostLive))) this.#rewrite.end();
  }

  #useRange({ items, storeRevision }: StoreRange, nowMs: number): void {
    const record = decodeSeeds(items.find(({ key }) => key === seedsKey));
    this.#useRecord(record, eraOf(storeRevision), nowMs);
  }

  #useRecord(record: SeedsRecord, era: number, nowMs: number): void {
    if (era < this.#recordEra) return;
    // This read may be the first that shows the new era; the record of the former one is lost by it.
    this.#rewrite.noteEra(era, this.#record.seeds, this.options.self.id, nowMs);
    // In a new era the record may be gone, or have a lower revision.
    if (era === this.#recordEra && record.revision < this.#record.revision) return;
    this.#recordEra = era;
    this.#record = record;
    const hasOthers = record.seeds.some(({ id }) => id !== this.options.self.id);
    // The seeds get time to answer before this node takes them for gone.
    if (!this.#hasJoined && hasOthers) this.#writesSelfAtMs = nowMs + silentSeedsMs;
    this.#contactSeeds(record.seeds);
  }

  #contactSeeds(seeds: readonly Seed[]): void {
    const { membership, self, logger } = this.options;
    const others = seeds.filter(({ id }) => id !== self.id);
    if (this.#hasJoined) {
      membership.pingSeeds(others.filter(({ id }) => membership.view.get(id) === undefined));
      return;
    }
    // A node that has found no seed goes on reading, until it finds one or is itself the first.
    if (seeds.length === 0) return;
    this.#hasJoined = true;
    membership.join(others).catch((error: unknown) => {
      logger.log(logEvents.seedsUnavailable, { error: String(error) });
    });
  }

  #isDeadOrLeft(id: string): boolean {
    const state = this.options.membership.view.get(id)?.state;
    return state === MemberState.Dead || state === MemberState.Left;
  }

  /** Whether the record lacks this node and has room, or one of its seeds is dead or has left. */
  #hasRoom(): boolean {
    const { seeds } = this.#record;
    if (seeds.some(({ id }) => id === this.options.self.id)) return false;
    return this.#liveSeeds().length < seedsMax;
  }

  #liveSeeds(): readonly Seed[] {
    return this.#record.seeds.filter(({ id }) => !this.#isDeadOrLeft(id));
  }

  /**
   * Writes this node and further seeds into the record; a conflict delivers the record as it is now.
   * Returns whether the record was written.
   */
  async #write(further: readonly Seed[] = []): Promise<boolean> {
    const { self, store } = this.options;
    const { revision } = this.#record;
    const others = [...this.#liveSeeds(), ...further].filter(({ id }) => id !== self.id);
    const seeds = [self, ...others].slice(0, seedsMax);
    const result = await store.writeIf(
      [{ key: seedsKey, revision }],
      [{ key: seedsKey, value: encodeSeeds(seeds) }],
    );
    const isWritten = result.kind === 'written';
    const record = isWritten
      ? { seeds, revision: result.revision }
      : decodeSeeds(result.items.find(({ key }) => key === seedsKey));
    this.#useRecord(record, eraOf(record.revision), monotonicNowMs());
    return isWritten;
  }
}
