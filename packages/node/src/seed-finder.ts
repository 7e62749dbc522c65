import { burstDelayMs, burstWindowMs } from '@sequoiafield/distribution';
import type { Membership } from '@sequoiafield/membership';
import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MemberState, type MemberView, type Seed, type SnapshotView } from '@sequoiafield/types';

/** Spreads the first reads of a mass restart. */
const firstJitterMs = 1000;
const intervalMs = 3000;

/** Reads the seeds of a data centre from the store. */
export type SeedReader = (dataCentre: string) => Promise<readonly Seed[]>;

/**
 * Looks for peers while this node knows none, and for the members of a configured data centre from
 * which it knows none, so that parts of the fleet that started apart find each other.
 */
export class SeedFinder implements System {
  readonly name = 'seed-finder';

  #nextAtMs: number | undefined;

  #isBusy = false;

  constructor(
    private readonly dataCentre: string,
    private readonly members: MemberView,
    private readonly snapshot: SnapshotView,
    private readonly membership: Pick<Membership, 'pingSeeds' | 'join'>,
    private readonly readSeeds: SeedReader,
    private readonly random: RandomSource,
    /** Nodes to expect before the fleet is known; all of them may look for peers at once. */
    private readonly expectedFleetSize: number,
  ) {}

  run({ nowMs }: Tick): void {
    this.#nextAtMs ??= nowMs + this.#firstDelayMs();
    if (this.#isBusy || nowMs < this.#nextAtMs) return;
    const missing = this.#missingDataCentres();
    const windowMs = burstWindowMs(this.#fleetSize());
    this.#nextAtMs = nowMs + Math.max(intervalMs, windowMs) * (0.5 + this.random.next());
    if (missing.length === 0) return;
    this.#isBusy = true;
    this.#find(this.#chooseAsked(missing))
      // A store that is down is asked again after the interval; peers may still find this node.
      .catch(() => undefined)
      .finally(() => {
        this.#isBusy = false;
      });
  }

  #firstDelayMs(): number {
    const jitterMs = this.random.next() * firstJitterMs;
    return Math.max(jitterMs, burstDelayMs(this.#fleetSize(), this.random));
  }

  #fleetSize(): number {
    return Math.max(this.members.fleetSize(), this.expectedFleetSize);
  }

  /** All of them, or one at random where the whole fleet could not read all in an interval. */
  #chooseAsked(missing: readonly string[]): readonly string[] {
    if (burstWindowMs(this.#fleetSize() * missing.length) <= intervalMs) return missing;
    return missing.slice(this.random.nextInt(missing.length)).slice(0, 1);
  }

  #missingDataCentres(): readonly string[] {
    const known = new Set<string>();
    for (const member of this.members.all()) {
      const isPeer = member.id !== this.members.selfId;
      if (isPeer && member.state <= MemberState.Draining) known.add(member.dataCentre);
    }
    const configured = this.snapshot.current()?.mesh.dataCentres.map(({ name }) => name) ?? [];
    const wanted = this.members.fleetSize() <= 1 ? [this.dataCentre, ...configured] : configured;
    return [...new Set(wanted)].filter(
      (name) => !known.has(name) && (name !== this.dataCentre || known.size === 0),
    );
  }

  async #find(dataCentres: readonly string[]): Promise<void> {
    for (const dataCentre of dataCentres) {
      const seeds = (await this.readSeeds(dataCentre)).filter(
        ({ id }) => id !== this.members.selfId,
      );
      if (seeds.length === 0) continue;
      if (this.members.fleetSize() <= 1) this.membership.join(seeds).catch(() => undefined);
      else this.membership.pingSeeds(seeds);
    }
  }
}
