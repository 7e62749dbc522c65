import { wallNowUnixMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import {
  MemberState,
  type MemberRow,
  type MemberView,
  type Seed,
  type SeedRecord,
} from '@sequoiafield/types';
import type { ConfigurationStore } from './sources.js';
import { burstDelayMs, burstWindowMs, withTimeout } from './timing.js';

/** Seeds of one data centre. */
const seedCount = 5;
/** A record is written again when fewer of its members than this are still alive. */
const minAliveSeeds = 3;
const staleRecordMs = 10 * 60_000;
/** Checks of all nodes of a data centre together come at this mean interval. */
const checkIntervalMs = 5000;
/** Share of checks that also read the record of another data centre. */
const abroadShare = 0.25;
/** Spreads the first checks of a mass restart. */
const firstCheckJitterMs = 2000;
const storeTimeoutMs = 3000;

/** What a keeper needs of its node. */
export interface SeedRecordRefresherOptions {
  /** Nodes to expect before the fleet is known. */
  readonly expectedFleetSize: number;
  /** Names of the data centres in force; their records are read now and then. */
  dataCentres(): readonly string[];
  /** Called with the seeds of each record that is read. */
  onSeedsRead(seeds: readonly Seed[]): void;
}

/**
 * Keeps the seeds record of the own data centre fresh with few reads and fewer writes.
 *
 * @example
 * const keeper = new SeedRecordRefresher(source, members, random, listener);
 */
export class SeedRecordRefresher implements System {
  readonly name = 'seeds-keeper';

  #nextAtMs: number | undefined;

  #isBusy = false;

  constructor(
    private readonly source: ConfigurationStore,
    private readonly members: MemberView,
    private readonly random: RandomSource,
    private readonly listener: SeedRecordRefresherOptions,
  ) {}

  run(tick: Tick): void {
    // The first nodes of a data centre must become findable soon.
    this.#nextAtMs ??= tick.nowMs + this.#firstDelayMs();
    if (this.#isBusy || tick.nowMs < this.#nextAtMs) return;
    this.#isBusy = true;
    this.#check()
      // A store that is down is retried with the next check.
      .catch(() => undefined)
      .finally(() => {
        this.#isBusy = false;
        this.#nextAtMs = tick.nowMs + this.#delayMs();
      });
  }

  #firstDelayMs(): number {
    const jitterMs = this.random.next() * firstCheckJitterMs;
    return Math.max(jitterMs, burstDelayMs(this.#fleetSize(), this.random));
  }

  #delayMs(): number {
    const size = Math.max(1, this.#aliveInOwnDataCentre().length);
    // Nodes that do not know each other yet all count themselves as the first of their data centre.
    const meanMs = Math.max(checkIntervalMs * size, burstWindowMs(this.#fleetSize()));
    return meanMs * -Math.log(1 - this.random.next());
  }

  #fleetSize(): number {
    return Math.max(this.members.fleetSize(), this.listener.expectedFleetSize);
  }

  #aliveInOwnDataCentre(): readonly MemberRow[] {
    const self = this.members.get(this.members.selfId);
    return [...this.members.all()].filter(
      (row) => row.state === MemberState.Alive && row.dataCentre === self?.dataCentre,
    );
  }

  async #check(): Promise<void> {
    const dataCentre = this.members.get(this.members.selfId)?.dataCentre ?? '';
    const alive = this.#aliveInOwnDataCentre();
    if (alive.length === 0) return;
    const read = this.source.readSeeds(dataCentre);
    const stored = await withTimeout(read, storeTimeoutMs, 'Seeds read');
    if (stored) this.listener.onSeedsRead(stored.record.seeds);
    await this.#lookAbroad(dataCentre);
    if (stored && !this.#isStale(stored.record, alive)) return;
    const seeds = this.#choose(alive);
    const record = { dataCentre, refreshedAtUnixMs: wallNowUnixMs(), seeds };
    const write = this.source.writeSeeds(record, stored?.revision);
    await withTimeout(write, storeTimeoutMs, 'Seeds write');
  }

  /** Reads the record of another data centre, so that fleets which formed apart find each other. */
  async #lookAbroad(own: string): Promise<void> {
    if (this.random.next() >= abroadShare) return;
    const others = this.listener.dataCentres().filter((name) => name !== own);
    const other = others[this.random.nextInt(others.length)];
    if (other === undefined) return;
    const read = this.source.readSeeds(other);
    const stored = await withTimeout(read, storeTimeoutMs, 'Seeds read');
    if (stored) this.listener.onSeedsRead(stored.record.seeds);
  }

  #isStale(record: SeedRecord, alive: readonly MemberRow[]): boolean {
    const isOld = wallNowUnixMs() - record.refreshedAtUnixMs > staleRecordMs;
    const rows = new Map(alive.map((row) => [row.id, row]));
    const current = record.seeds.filter(({ id, address, gossipPort }) => {
      const row = rows.get(id);
      return row?.address === address && row.gossipPort === gossipPort;
    });
    return isOld || current.length < Math.min(minAliveSeeds, alive.length);
  }

  #choose(alive: readonly MemberRow[]): readonly Seed[] {
    const left = [...alive];
    const chosen: Seed[] = [];
    while (chosen.length < seedCount && left.length > 0) {
      const [row] = left.splice(this.random.nextInt(left.length), 1);
      if (row) chosen.push({ id: row.id, address: row.address, gossipPort: row.gossipPort });
    }
    return chosen;
  }
}
