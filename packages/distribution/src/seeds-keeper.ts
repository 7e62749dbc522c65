import { wallNowUnixMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import {
  MemberState,
  type MemberAnnouncement,
  type MemberRow,
  type MemberView,
} from '@sequoiafield/types';
import type { HeadSource, SeedsRecord } from './sources.js';
import { withTimeout } from './timing.js';

/** Seeds of one data centre. */
const seedCount = 5;
/** A record is written again when fewer of its members than this are still alive. */
const minAliveSeeds = 3;
const staleRecordMs = 10 * 60_000;
/** Checks of all nodes of a data centre together come at this mean interval. */
const checkIntervalMs = 5000;
const storeTimeoutMs = 3000;

const announcementOf = (row: MemberRow): MemberAnnouncement => ({
  id: row.id,
  incarnation: row.incarnation,
  address: row.address,
  gossipPort: row.gossipPort,
  linkPort: row.linkPort,
  callPort: row.callPort,
  region: row.region,
  dataCentre: row.dataCentre,
  service: row.service,
  backendVersion: row.backendVersion,
});

/**
 * Keeps the seeds record of the own data centre fresh with few reads and fewer writes.
 *
 * @example
 * const keeper = new SeedsKeeper(source, members, random);
 */
export class SeedsKeeper implements System {
  readonly name = 'seeds-keeper';

  #nextAtMs: number | undefined;

  #isBusy = false;

  constructor(
    private readonly source: HeadSource,
    private readonly members: MemberView,
    private readonly random: RandomSource,
  ) {}

  run(tick: Tick): void {
    this.#nextAtMs ??= tick.nowMs + this.#delayMs();
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

  #delayMs(): number {
    const size = Math.max(1, this.#aliveInOwnDataCentre().length);
    return checkIntervalMs * size * -Math.log(1 - this.random.next());
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
    if (stored && !this.#isStale(stored.record, alive)) return;
    const record = { members: this.#choose(alive), writtenAtUnixMs: wallNowUnixMs() };
    const write = this.source.writeSeeds(dataCentre, record, stored?.revision);
    await withTimeout(write, storeTimeoutMs, 'Seeds write');
  }

  #isStale(record: SeedsRecord, alive: readonly MemberRow[]): boolean {
    const isOld = wallNowUnixMs() - record.writtenAtUnixMs > staleRecordMs;
    const incarnations = new Map(alive.map((row) => [row.id, row.incarnation]));
    const current = record.members.filter((seed) => incarnations.get(seed.id) === seed.incarnation);
    return isOld || current.length < Math.min(minAliveSeeds, alive.length);
  }

  #choose(alive: readonly MemberRow[]): readonly MemberAnnouncement[] {
    const left = [...alive];
    const chosen: MemberAnnouncement[] = [];
    while (chosen.length < seedCount && left.length > 0) {
      const [row] = left.splice(this.random.below(left.length), 1);
      if (row) chosen.push(announcementOf(row));
    }
    return chosen;
  }
}
