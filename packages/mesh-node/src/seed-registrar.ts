import { logEvents, type Logger } from '@sequoiafield/logger';
import type { Membership } from '@sequoiafield/membership';
import type { RangeStore, StoreItem } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { MemberState, type Seed } from '@sequoiafield/types';

/** Key of the only seeds record; with a single key a later writer sees all earlier entries. */
export const seedsKey = 'sequoiafield/seeds';
/**
 * Maximum number of seeds in the record; some of them survive the loss of a data centre and a third
 * of the rest.
 */
const seedsMax = 6;
/** Mean interval between reads of the record by a node that knows no other node. */
const aloneReadIntervalMs = 700;
/** Mean read interval per known member, so that the whole fleet reads the record once in 10 s. */
const readIntervalPerMemberMs = 10_000;
/** Spreads the first writes of a fleet that starts at once. */
const writeJitterMaxMs = 250;

interface SeedsRecord {
  readonly seeds: readonly Seed[];
  readonly revision: number;
}

const isSeed = (value: unknown): value is Seed => {
  const seed = (value ?? {}) as Partial<Seed>;
  return (
    typeof seed.id === 'string' &&
    typeof seed.address === 'string' &&
    Number.isInteger(seed.gossipPort)
  );
};

const decodeSeeds = (item: StoreItem | undefined): SeedsRecord => {
  if (!item) return { seeds: [], revision: 0 };
  const { revision } = item;
  try {
    const value: unknown = JSON.parse(Buffer.from(item.value).toString('utf8'));
    return { seeds: Array.isArray(value) ? value.filter(isSeed) : [], revision };
  } catch {
    // A malformed record counts as empty and is replaced.
    return { seeds: [], revision };
  }
};

/** Dependencies of a `SeedRegistrar`. */
export interface SeedRegistrarOptions {
  readonly self: Seed;
  readonly membership: Membership;
  readonly store: RangeStore;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Joins the fleet through the seeds record in the store and keeps live nodes in that record.
 *
 * @example
 * const registrar = new SeedRegistrar({ self, membership, store, random, logger });
 */
export class SeedRegistrar implements System {
  readonly name = 'seeds-keeper';

  #nextReadAtMs = 0;

  #isReading = false;

  #hasJoined = false;

  constructor(private readonly options: SeedRegistrarOptions) {}

  run(tick: Tick): void {
    if (this.#isReading || tick.nowMs < this.#nextReadAtMs) return;
    this.#isReading = true;
    this.#refreshRecord()
      .catch((error: unknown) => {
        this.options.logger.log(logEvents.seedsUnavailable, { error: String(error) });
      })
      .finally(() => {
        this.#isReading = false;
        this.#nextReadAtMs =
          monotonicNowMs() + this.#readIntervalMs() * (0.5 + this.options.random.next());
      });
  }

  #readIntervalMs(): number {
    const fleetSize = this.options.membership.view.fleetSize();
    return fleetSize <= 1 ? aloneReadIntervalMs : readIntervalPerMemberMs * fleetSize;
  }

  async #refreshRecord(): Promise<void> {
    const { store, random } = this.options;
    const range = await store.readRange(seedsKey);
    const record = decodeSeeds(range.items.find(({ key }) => key === seedsKey));
    this.#contactSeeds(record.seeds);
    if (!this.#shouldWrite(record.seeds)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, writeJitterMaxMs * random.next());
    });
    await this.#write(record);
  }

  #contactSeeds(seeds: readonly Seed[]): void {
    const { membership, self, logger } = this.options;
    const others = seeds.filter(({ id }) => id !== self.id);
    if (this.#hasJoined) {
      membership.pingSeeds(others.filter(({ id }) => membership.view.get(id) === undefined));
      return;
    }
    this.#hasJoined = true;
    membership.join(others).catch((error: unknown) => {
      logger.log(logEvents.seedsUnavailable, { error: String(error) });
    });
  }

  #isDeadOrLeft(id: string): boolean {
    const state = this.options.membership.view.get(id)?.state;
    return state === MemberState.Dead || state === MemberState.Left;
  }

  /**
   * Whether to write this node into the record: the record has room, one of its seeds is dead or
   * has left, or this node knows no other node.
   */
  #shouldWrite(seeds: readonly Seed[]): boolean {
    if (seeds.some(({ id }) => id === this.options.self.id)) return false;
    const liveSeeds = seeds.filter(({ id }) => !this.#isDeadOrLeft(id));
    return liveSeeds.length < seedsMax || this.options.membership.view.fleetSize() <= 1;
  }

  async #write(record: SeedsRecord): Promise<void> {
    const { self, store } = this.options;
    const others = record.seeds.filter(({ id }) => id !== self.id && !this.#isDeadOrLeft(id));
    const seeds = [self, ...others].slice(0, seedsMax);
    const value = Buffer.from(JSON.stringify(seeds));
    const conditions = [{ key: seedsKey, revision: record.revision }];
    const result = await store.writeIf(conditions, [{ key: seedsKey, value }]);
    if (result.kind === 'written') return;
    const current = decodeSeeds(result.items.find(({ key }) => key === seedsKey));
    this.#contactSeeds(current.seeds);
    if (this.#shouldWrite(current.seeds)) await this.#write(current);
  }
}
