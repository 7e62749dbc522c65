import type { System, Tick } from '@sequoiafield/tables';
import {
  LinkRequestKind,
  type LinkRequester,
  type MemberAnnouncement,
  type MemberView,
} from '@sequoiafield/types';
import type { PeerSelector } from './peer-selector.js';

/** What a peer says to a joining node. */
interface MinimumVersionAnswer {
  /** Version that the peer has in force. */
  readonly configVersion: number;
  /** Highest version that the peer heard the asking instance announce. */
  readonly heardConfigVersion: number;
  readonly dataCentre: string;
}

/** A seed as far as settings or store name it. */
export interface SeedLocation {
  readonly address: string;
  readonly gossipPort: number;
  /** Undefined if only the address is known. */
  readonly dataCentre?: string;
}

const requiredPeerAnswers = 3;
const requiredDataCentres = 2;
const maxAskedPeers = 6;
const askIntervalMs = 1000;
const askTimeoutMs = 900;

/** What the floor needs of its node. */
export interface MinimumVersionResolverDependencies {
  readonly members: MemberView;
  readonly links: LinkRequester;
  readonly peers: PeerSelector;
  readonly versionWitnesses: () => readonly MemberAnnouncement[];
  readonly seeds: () => readonly SeedLocation[];
  readonly ownVersion: () => number;
}

/**
 * The minimum version that this node may serve: the head of the store, or, while the store does
 * not answer, the highest version that enough peers hold or heard this instance announce.
 *
 * @example
 * floor.setFromStore(head.configVersion);
 * const mayServe = floor.value !== undefined && inForce >= floor.value;
 */
export class MinimumVersionResolver implements System {
  readonly name = 'join-floor';

  #value: number | undefined;

  #isStoreDown = false;

  #isBusy = false;

  #nextAtMs = 0;

  constructor(private readonly parts: MinimumVersionResolverDependencies) {
    parts.links.handle(LinkRequestKind.MinimumVersion, (_, fromId) => this.#answer(fromId));
  }

  /** Undefined until it is known. */
  get value(): number | undefined {
    return this.#value;
  }

  setFromStore(configVersion: number): void {
    this.#value ??= configVersion;
  }

  /** Tells that the store did not answer, so that peers decide. */
  markStoreUnavailable(): void {
    this.#isStoreDown = true;
  }

  run(tick: Tick): void {
    const isNeeded = this.#value === undefined && this.#isStoreDown && !this.#isBusy;
    if (!isNeeded || tick.nowMs < this.#nextAtMs) return;
    this.#nextAtMs = tick.nowMs + askIntervalMs;
    this.#isBusy = true;
    this.#askPeers().finally(() => {
      this.#isBusy = false;
    });
  }

  async #askPeers(): Promise<void> {
    const asked = this.#chooseAsked();
    const answers = await Promise.all(asked.map((peer) => this.#ask(peer)));
    const given = answers.filter((answer) => answer !== undefined);
    if (given.length === 0 || !this.#isEnough(given)) return;
    this.#value ??= Math.max(
      ...given.flatMap((answer) => [answer.configVersion, answer.heardConfigVersion]),
    );
  }

  #chooseAsked(): readonly MemberAnnouncement[] {
    const asked = new Map<string, MemberAnnouncement>();
    const sources = [this.parts.versionWitnesses(), this.parts.peers.selectRandom(maxAskedPeers)];
    for (const peer of sources.flat()) {
      if (peer.id !== this.parts.members.selfId) asked.set(peer.id, peer);
    }
    return [...asked.values()];
  }

  async #ask(peer: MemberAnnouncement): Promise<MinimumVersionAnswer | undefined> {
    try {
      const { links } = this.parts;
      const answer = await links.request(peer, LinkRequestKind.MinimumVersion, {}, askTimeoutMs);
      const floor = answer as MinimumVersionAnswer | null;
      const isGiven =
        Number.isFinite(floor?.configVersion) && Number.isFinite(floor?.heardConfigVersion);
      return floor && isGiven ? floor : undefined;
    } catch {
      return undefined;
    }
  }

  /** Fewer peers or data centres are enough only where the seeds name no more. */
  #isEnough(answers: readonly MinimumVersionAnswer[]): boolean {
    const self = this.parts.members.get(this.parts.members.selfId);
    const seeds = this.parts
      .seeds()
      .filter((seed) => seed.address !== self?.address || seed.gossipPort !== self.gossipPort);
    const seedDataCentres = new Set(seeds.map((seed) => this.#dataCentreOf(seed)));
    const dataCentres = new Set(answers.map((answer) => answer.dataCentre));
    return (
      answers.length >= Math.min(requiredPeerAnswers, seeds.length) &&
      dataCentres.size >= Math.min(requiredDataCentres, seedDataCentres.size)
    );
  }

  /** A seed whose data centre is not known counts as one of its own. */
  #dataCentreOf(seed: SeedLocation): string {
    if (seed.dataCentre !== undefined) return seed.dataCentre;
    const known = [...this.parts.members.all()].find(
      (row) => row.address === seed.address && row.gossipPort === seed.gossipPort,
    );
    return known?.dataCentre ?? `${seed.address}:${seed.gossipPort}`;
  }

  /** A node that does not know its own floor says nothing. */
  #answer(fromId: string): MinimumVersionAnswer | null {
    const { members, ownVersion } = this.parts;
    if (this.#value === undefined || ownVersion() < this.#value || ownVersion() === 0) return null;
    return {
      configVersion: ownVersion(),
      heardConfigVersion: members.get(fromId)?.configVersion ?? 0,
      dataCentre: members.get(members.selfId)?.dataCentre ?? '',
    };
  }
}
