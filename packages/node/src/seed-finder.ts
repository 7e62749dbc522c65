import { burstDelayMs, burstWindowMs } from '@sequoiafield/distribution';
import type { Membership } from '@sequoiafield/membership';
import type { RandomSource, System, Tick } from '@sequoiafield/tables';
import { MemberState, type MemberView, type Seed, type SnapshotView } from '@sequoiafield/types';

/** Spreads the first reads when many nodes restart at once. */
const firstReadJitterMaxMs = 1000;
const readIntervalMs = 3000;

/** Reads the seeds of a data centre from the store. */
export type SeedReader = (dataCentre: string) => Promise<readonly Seed[]>;

/**
 * Reads seeds from the store while this node knows no peer, and for each configured data centre of
 * which it knows no member, so that parts of the fleet that started separately find each other.
 */
export class SeedFinder implements System {
  readonly name = 'seed-finder';

  #nextReadAtMs: number | undefined;

  #isReading = false;

  constructor(
    private readonly dataCentre: string,
    private readonly members: MemberView,
    private readonly snapshot: SnapshotView,
    private readonly membership: Pick<Membership, 'pingSeeds' | 'join'>,
    private readonly readSeeds: SeedReader,
    private readonly random: RandomSource,
    /**
     * Fleet size assumed before the members are known; all of these nodes may read seeds at once.
     */
    private readonly expectedFleetSize: number,
  ) {}

  run({ nowMs }: Tick): void {
    this.#nextReadAtMs ??= nowMs + this.#firstReadDelayMs();
    if (this.#isReading || nowMs < this.#nextReadAtMs) return;
    const dataCentresToRead = this.#dataCentresWithoutPeer();
    const windowMs = burstWindowMs(this.#fleetSize());
    this.#nextReadAtMs = nowMs + Math.max(readIntervalMs, windowMs) * (0.5 + this.random.next());
    if (dataCentresToRead.length === 0) return;
    this.#isReading = true;
    this.#contactSeeds(this.#chooseDataCentres(dataCentresToRead))
      // A failed read is retried after the interval; meanwhile peers may still find this node.
      .catch(() => undefined)
      .finally(() => {
        this.#isReading = false;
      });
  }

  #firstReadDelayMs(): number {
    const jitterMs = this.random.next() * firstReadJitterMaxMs;
    return Math.max(jitterMs, burstDelayMs(this.#fleetSize(), this.random));
  }

  #fleetSize(): number {
    return Math.max(this.members.fleetSize(), this.expectedFleetSize);
  }

  /** Returns all of them, or a random one if the fleet could not read all within one interval. */
  #chooseDataCentres(dataCentresToRead: readonly string[]): readonly string[] {
    if (burstWindowMs(this.#fleetSize() * dataCentresToRead.length) <= readIntervalMs)
      return dataCentresToRead;
    return dataCentresToRead.slice(this.random.nextInt(dataCentresToRead.length)).slice(0, 1);
  }

  #dataCentresWithoutPeer(): readonly string[] {
    const dataCentresWithPeer = new Set<string>();
    for (const member of this.members.all()) {
      const isPeer = member.id !== this.members.selfId;
      if (isPeer && member.state <= MemberState.Draining)
        dataCentresWithPeer.add(member.dataCentre);
    }
    const configured = this.snapshot.current()?.mesh.dataCentres.map(({ name }) => name) ?? [];
    const searchedDataCentres =
      this.members.fleetSize() <= 1 ? [this.dataCentre, ...configured] : configured;
    return [...new Set(searchedDataCentres)].filter(
      (name) =>
        !dataCentresWithPeer.has(name) &&
        (name !== this.dataCentre || dataCentresWithPeer.size === 0),
    );
  }

  async #contactSeeds(dataCentres: readonly string[]): Promise<void> {
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
