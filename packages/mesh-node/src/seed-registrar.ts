import { logEvents, type Logger } from '@sequoiafield/logger';
import type { Membership } from '@sequoiafield/membership';
import type { RangeStore, StoreItem } from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { MemberState, type Seed } from '@sequoiafield/types';

/** Key of the one record of seeds; one key lets a later writer see every earlier one. */
export const seedsKey = 'sequoiafield/seeds';
/** Nodes named as seeds; the loss of a data centre and a third of the rest leaves some of them. */
const seedsMax = 6;
/** Wait before the record is read again by a node that knows no other one. */
const aloneIntervalMs = 700;
/** Time between looks at the record by a node that knows others; one look of the fleet each 10 s. */
const lookPerMemberMs = 10_000;
/** Spreads the first writes of a fleet that starts together. */
const writeJitterMs = 250;

interface HeldSeeds {
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

const decodeSeeds = (item: StoreItem | undefined): HeldSeeds => {
  if (!item) return { seeds: [], revision: 0 };
  const { revision } = item;
  try {
    const value: unknown = JSON.parse(Buffer.from(item.value).toString('utf8'));
    return { seeds: Array.isArray(value) ? value.filter(isSeed) : [], revision };
  } catch {
    // A record that cannot be read names nobody and is replaced.
    return { seeds: [], revision };
  }
};

/** What a seeds keeper works with. */
export interface SeedRegistrarOptions {
  readonly self: Seed;
  readonly membership: Membership;
  readonly store: RangeStore;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/**
 * Finds the fleet through the record of seeds in the store and keeps living nodes in it.
 *
 * @example
 * const keeper = new SeedRegistrar({ self, membership, store, random, logger });
 */
export class SeedRegistrar implements System {
  readonly name = 'seeds-keeper';

  #nextAtMs = 0;

  #isBusy = false;

  #hasJoined = false;

  constructor(private readonly parts: SeedRegistrarOptions) {}

  run(tick: Tick): void {
    if (this.#isBusy || tick.nowMs < this.#nextAtMs) return;
    this.#isBusy = true;
    this.#look()
      .catch((error: unknown) => {
        this.parts.logger.log(logEvents.seedsUnavailable, { error: String(error) });
      })
      .finally(() => {
        this.#isBusy = false;
        this.#nextAtMs = monotonicNowMs() + this.#intervalMs() * (0.5 + this.parts.random.next());
      });
  }

  #intervalMs(): number {
    const fleetSize = this.parts.membership.view.fleetSize();
    return fleetSize <= 1 ? aloneIntervalMs : lookPerMemberMs * fleetSize;
  }

  async #look(): Promise<void> {
    const { store, random } = this.parts;
    const range = await store.readRange(seedsKey);
    const held = decodeSeeds(range.items.find(({ key }) => key === seedsKey));
    this.#meet(held.seeds);
    if (!this.#isWriteDue(held.seeds)) return;
    await new Promise((resolve) => {
      setTimeout(resolve, writeJitterMs * random.next());
    });
    await this.#write(held);
  }

  #meet(seeds: readonly Seed[]): void {
    const { membership, self, logger } = this.parts;
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

  #isGone(id: string): boolean {
    const state = this.parts.membership.view.get(id)?.state;
    return state === MemberState.Dead || state === MemberState.Left;
  }

  /** Whether this node belongs into the record: there is room, or a seed is gone. */
  #isWriteDue(seeds: readonly Seed[]): boolean {
    if (seeds.some(({ id }) => id === this.parts.self.id)) return false;
    const living = seeds.filter(({ id }) => !this.#isGone(id));
    return living.length < seedsMax || this.parts.membership.view.fleetSize() <= 1;
  }

  async #write(held: HeldSeeds): Promise<void> {
    const { self, store } = this.parts;
    const others = held.seeds.filter(({ id }) => id !== self.id && !this.#isGone(id));
    const seeds = [self, ...others].slice(0, seedsMax);
    const value = Buffer.from(JSON.stringify(seeds));
    const conditions = [{ key: seedsKey, revision: held.revision }];
    const result = await store.writeIf(conditions, [{ key: seedsKey, value }]);
    if (result.kind === 'written') return;
    const current = decodeSeeds(result.items.find(({ key }) => key === seedsKey));
    this.#meet(current.seeds);
    if (this.#isWriteDue(current.seeds)) await this.#write(current);
  }
}
