import type { System, Tick } from '@sequoiafield/tables';
import {
  LinkRequestKind,
  type LinkRequester,
  type MemberAnnouncement,
  type MemberView,
} from '@sequoiafield/types';
import type { PeerSelector } from './peer-selector.js';

/** Answer of a peer to a joining node. */
interface MinimumVersionAnswer {
  /** Active version of the peer. */
  readonly configVersion: number;
  /** Highest version announced by the requesting instance that the peer has received. */
  readonly heardConfigVersion: number;
  readonly dataCentre: string;
}

/** Location of a seed, as far as the settings or the store contain it. */
export interface SeedLocation {
  readonly address: string;
  readonly gossipPort: number;
  /** Undefined if only the address is known. */
  readonly dataCentre?: string;
}

const peerAnswersMin = 3;
const answeringDataCentresMin = 2;
const askedPeersMax = 6;
const askIntervalMs = 1000;
const askTimeoutMs = 900;

/** Dependencies of a `MinimumVersionResolver`. */
export interface MinimumVersionResolverDependencies {
  readonly members: MemberView;
  readonly links: LinkRequester;
  readonly peers: PeerSelector;
  readonly versionWitnesses: () => readonly MemberAnnouncement[];
  readonly seeds: () => readonly SeedLocation[];
  readonly ownVersion: () => number;
}

/**
 * Determines the minimum version that this node may serve: the head of the store or, while the store
 * does not answer, the highest version that enough peers hold or received from this instance.
 *
 * @example
 * resolver.setFromStore(head.configVersion);
 * const mayServe = resolver.value !== undefined && activeVersion >= resolver.value;
 */
export class MinimumVersionResolver implements System {
  readonly name = 'join-floor';

  #value: number | undefined;

  #isStoreUnavailable = false;

  #isAsking = false;

  #nextAtMs = 0;

  constructor(private readonly dependencies: MinimumVersionResolverDependencies) {
    dependencies.links.handle(LinkRequestKind.MinimumVersion, (_, fromId) => this.#answer(fromId));
  }

  /** Minimum version; undefined while it is unknown. */
  get value(): number | undefined {
    return this.#value;
  }

  setFromStore(configVersion: number): void {
    this.#value ??= configVersion;
  }

  /** Marks the store as unavailable, so that the minimum version is determined from peers. */
  markStoreUnavailable(): void {
    this.#isStoreUnavailable = true;
  }

  run(tick: Tick): void {
    const isNeeded = this.#value === undefined && this.#isStoreUnavailable && !this.#isAsking;
    if (!isNeeded || tick.nowMs < this.#nextAtMs) return;
    this.#nextAtMs = tick.nowMs + askIntervalMs;
    this.#isAsking = true;
    this.#askPeers().finally(() => {
      this.#isAsking = false;
    });
  }

  async #askPeers(): Promise<void> {
    const asked = this.#selectPeersToAsk();
    const answers = await Promise.all(asked.map((peer) => this.#ask(peer)));
    const validAnswers = answers.filter((answer) => answer !== undefined);
    if (validAnswers.length === 0 || !this.#isEnough(validAnswers)) return;
    this.#value ??= Math.max(
      ...validAnswers.flatMap((answer) => [answer.configVersion, answer.heardConfigVersion]),
    );
  }

  #selectPeersToAsk(): readonly MemberAnnouncement[] {
    const asked = new Map<string, MemberAnnouncement>();
    const sources = [
      this.dependencies.versionWitnesses(),
      this.dependencies.peers.selectRandom(askedPeersMax),
    ];
    for (const peer of sources.flat()) {
      if (peer.id !== this.dependencies.members.selfId) asked.set(peer.id, peer);
    }
    return [...asked.values()];
  }

  async #ask(peer: MemberAnnouncement): Promise<MinimumVersionAnswer | undefined> {
    try {
      const { links } = this.dependencies;
      const answer = await links.request(peer, LinkRequestKind.MinimumVersion, {}, askTimeoutMs);
      const peerAnswer = answer as MinimumVersionAnswer | null;
      const isValid =
        Number.isFinite(peerAnswer?.configVersion) &&
        Number.isFinite(peerAnswer?.heardConfigVersion);
      return peerAnswer && isValid ? peerAnswer : undefined;
    } catch {
      return undefined;
    }
  }

  /** Fewer peers or data centres are enough only if the seeds name no more of them. */
  #isEnough(answers: readonly MinimumVersionAnswer[]): boolean {
    const self = this.dependencies.members.get(this.dependencies.members.selfId);
    const seeds = this.dependencies
      .seeds()
      .filter((seed) => seed.address !== self?.address || seed.gossipPort !== self.gossipPort);
    const seedDataCentres = new Set(seeds.map((seed) => this.#dataCentreOf(seed)));
    const dataCentres = new Set(answers.map((answer) => answer.dataCentre));
    return (
      answers.length >= Math.min(peerAnswersMin, seeds.length) &&
      dataCentres.size >= Math.min(answeringDataCentresMin, seedDataCentres.size)
    );
  }

  /** A seed whose data centre is unknown counts as a data centre of its own. */
  #dataCentreOf(seed: SeedLocation): string {
    if (seed.dataCentre !== undefined) return seed.dataCentre;
    const known = [...this.dependencies.members.all()].find(
      (row) => row.address === seed.address && row.gossipPort === seed.gossipPort,
    );
    return known?.dataCentre ?? `${seed.address}:${seed.gossipPort}`;
  }

  /** Returns null while this node does not know its own minimum version or is below it. */
  #answer(fromId: string): MinimumVersionAnswer | null {
    const { members, ownVersion } = this.dependencies;
    if (this.#value === undefined || ownVersion() < this.#value || ownVersion() === 0) return null;
    return {
      configVersion: ownVersion(),
      heardConfigVersion: members.get(fromId)?.configVersion ?? 0,
      dataCentre: members.get(members.selfId)?.dataCentre ?? '',
    };
  }
}
