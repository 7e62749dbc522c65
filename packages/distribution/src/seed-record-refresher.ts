import { wallNowUnixMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import {
  MemberState,
  type MemberRow,
  type MemberView,
  type Seed,
  type SeedRecord,
} from '@sequoiafield/types';
import type { ConfigurationStore } from './configuration-store.js';
import { burstDelayMs, burstWindowMs, withTimeout } from './timing.js';

/** Number of seeds that the record of one data centre names. */
const seedCount = 5;
/** A record is rewritten if fewer of its members than this are still alive. */
const aliveSeedsMin = 3;
const recordAgeMaxMs = 10 * 60_000;
/** Mean interval between the checks of all nodes of a data centre together. */
const checkIntervalMs = 5000;
/** Share of checks that also read the record of another data centre. */
const otherDataCentreShare = 0.25;
/** Maximum random delay that spreads the first checks of a mass restart. */
const firstCheckJitterMs = 2000;
const storeTimeoutMs = 3000;

/** Settings and callbacks of a `SeedRecordRefresher`. */
export interface SeedRecordRefresherOptions {
  /** Fleet size that is assumed before the fleet is known. */
  readonly expectedFleetSize: number;
  /** Names of the data centres in the active configuration; some checks read one of their records. */
  dataCentres(): readonly string[];
  /** Called with the seeds of each record after it was read. */
  onSeedsRead(seeds: readonly Seed[]): void;
}

/**
 * Keeps the seeds record of the own data centre up to date with few reads and fewer writes.
 *
 * @example
 * const refresher = new SeedRecordRefresher(configurationStore, members, random, options);
 */
export class SeedRecordRefresher implements System {
  readonly name = 'seeds-keeper';

  #nextAtMs: number | undefined;

  #isChecking = false;

  constructor(
    private readonly configurationStore: ConfigurationStore,
    private readonly members: MemberView,
    private readonly random: RandomSource,
    private readonly options: SeedRecordRefresherOptions,
  ) {}

  run(tick: Tick): void {
    // The first nodes of a data centre must be found soon by joining nodes.
    this.#nextAtMs ??= tick.nowMs + this.#firstDelayMs();
    if (this.#isChecking || tick.nowMs < this.#nextAtMs) return;
    this.#isChecking = true;
    this.#check()
      // After a failure the next check reads the store again.
      .catch(() => undefined)
      .finally(() => {
        this.#isChecking = false;
        this.#nextAtMs = tick.nowMs + this.#delayMs();
      });
  }

  #firstDelayMs(): number {
    const jitterMs = this.random.next() * firstCheckJitterMs;
    return Math.max(jitterMs, burstDelayMs(this.#fleetSize(), this.random));
  }

  #delayMs(): number {
    const size = Math.max(1, this.#aliveInOwnDataCentre().length);
    // Nodes that do not know each other yet each count only themselves in their data centre.
    const meanMs = Math.max(checkIntervalMs * size, burstWindowMs(this.#fleetSize()));
    return meanMs * -Math.log(1 - this.random.next());
  }

  #fleetSize(): number {
    return Math.max(this.members.fleetSize(), this.options.expectedFleetSize);
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
    const read = this.configurationStore.readSeeds(dataCentre);
    const stored = await withTimeout(read, storeTimeoutMs, 'Seeds read');
    if (stored) this.options.onSeedsRead(stored.record.seeds);
    await this.#readOtherDataCentre(dataCentre);
    if (stored && !this.#isStale(stored.record, alive)) return;
    const seeds = this.#chooseSeeds(alive);
    const record = { dataCentre, refreshedAtUnixMs: wallNowUnixMs(), seeds };
    const write = this.configurationStore.writeSeeds(record, stored?.revision);
    await withTimeout(write, storeTimeoutMs, 'Seeds write');
  }

  /** Reads the record of another data centre, so that fleets that formed separately find each other. */
  async #readOtherDataCentre(ownDataCentre: string): Promise<void> {
    if (this.random.next() >= otherDataCentreShare) return;
    const others = this.options.dataCentres().filter((name) => name !== ownDataCentre);
    const other = others[this.random.nextInt(others.length)];
    if (other === undefined) return;
    const read = this.configurationStore.readSeeds(other);
    const stored = await withTimeout(read, storeTimeoutMs, 'Seeds read');
    if (stored) this.options.onSeedsRead(stored.record.seeds);
  }

  #isStale(record: SeedRecord, alive: readonly MemberRow[]): boolean {
    const isOld = wallNowUnixMs() - record.refreshedAtUnixMs > recordAgeMaxMs;
    const rows = new Map(alive.map((row) => [row.id, row]));
    const current = record.seeds.filter(({ id, address, gossipPort }) => {
      const row = rows.get(id);
      return row?.address === address && row.gossipPort === gossipPort;
    });
    return isOld || current.length < Math.min(aliveSeedsMin, alive.length);
  }

  #chooseSeeds(alive: readonly MemberRow[]): readonly Seed[] {
    const candidates = [...alive];
    const chosen: Seed[] = [];
    while (chosen.length < seedCount && candidates.length > 0) {
      const [row] = candidates.splice(this.random.nextInt(candidates.length), 1);
      if (row) chosen.push({ id: row.id, address: row.address, gossipPort: row.gossipPort });
    }
    return chosen;
  }
}
