import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import {
  sharedSectionNames,
  type HeadRecord,
  type Manifest,
  type MemberView,
  type MeshSection,
  type RoutesSection,
  type ServiceSection,
  type Snapshot,
} from '@sequoiafield/types';
import { createDistributionError } from './create-distribution-error.js';
import type { PeerExchange } from './peer-exchange.js';
import type { PeerSelector } from './peer-selector.js';
import { createRejectedSnapshotError, RejectedSnapshotError } from './rejected-snapshot-error.js';
import { applyDelta, type SectionCache } from './section-cache.js';
import type { SnapshotValidator } from './snapshot-validator.js';
import type { SnapshotHolder } from './snapshot-holder.js';
import type { ConfigurationStore, SectionChecker } from './sources.js';
import { burstDelayMs, sleep, withTimeout } from './timing.js';

/** Counts of where manifests and sections came from. */
export interface FetchCounters {
  fromPeers: number;
  fromStore: number;
  /** Bodies whose digest did not match. */
  badDigests: number;
}

/** Where to look for a version first. */
export interface FetchOptions {
  /** Peer that the head was heard from. */
  readonly senderId: string | undefined;
  /** True for a head so new that only this node, which read it from the store, may know it. */
  readonly isStoreFirst: boolean;
  /** Whether the fetch has become useless, since a newer head is known. */
  readonly isSuperseded: () => boolean;
}

/** What a fetcher needs of its node. */
export interface SnapshotFetcherDependencies {
  readonly members: MemberView;
  readonly random: RandomSource;
  readonly cache: SectionCache;
  readonly exchange: PeerExchange;
  readonly peers: PeerSelector;
  readonly holder: SnapshotHolder;
  readonly validator: SnapshotValidator;
  readonly configurationStore: ConfigurationStore;
  readonly checker: SectionChecker;
  /** Services to hold; undefined for all. */
  readonly wantedServices: () => ReadonlySet<string> | undefined;
  readonly expectedFleetSize: number;
}

const storeTimeoutMs = 3000;
const parallelReads = 8;
/** Mean time after which a node that waits for its turn at the store asks peers again. */
const askAgainMs = 1500;

/**
 * Fetches manifest and sections, from peers first, and builds a checked snapshot.
 *
 * @example
 * const snapshot = await fetcher.fetch(head, { senderId: 'node-7', isStoreFirst: false });
 */
export class SnapshotFetcher {
  readonly counters: FetchCounters = { fromPeers: 0, fromStore: 0, badDigests: 0 };

  #isWaiting = false;

  constructor(private readonly parts: SnapshotFetcherDependencies) {}

  /** Whether a fetch waits for its turn at the store, so that peers need not wait for it. */
  get isWaitingForStore(): boolean {
    return this.#isWaiting;
  }

  /**
   * Resolves with a whole, checked snapshot. Rejects with `DistributionError` if a part could not
   * be fetched, and with `RejectedSnapshotError` if its content is wrong, which no retry changes.
   */
  async fetch(head: HeadRecord, origin: FetchOptions): Promise<Snapshot> {
    const manifest = await this.#fetchManifest(head, origin);
    const wanted = this.parts.wantedServices();
    const names = Object.keys(manifest.sections).filter(
      (name) => !wanted || wanted.has(name) || sharedSectionNames.includes(name),
    );
    await this.#fetchSections(manifest, names, origin);
    return this.#build(head, manifest, names);
  }

  async #fetchManifest(head: HeadRecord, origin: FetchOptions): Promise<Manifest> {
    const { cache, checker } = this.parts;
    const accept = (manifest: Manifest): Manifest => {
      if (checker.digestOf(checker.toCanonicalJson(manifest)) !== head.manifestDigest) {
        this.counters.badDigests += 1;
        throw createDistributionError(`Manifest does not match digest ${head.manifestDigest}`);
      }
      cache.addManifest(head.manifestDigest, manifest);
      return manifest;
    };
    const known = cache.manifest(head.manifestDigest);
    if (known) return known;
    if (origin.isStoreFirst) {
      const stored = await this.#manifestFromStore(head).catch(() => undefined);
      if (stored) return accept(stored);
    }
    const base = cache.manifest(this.parts.holder.current?.manifestDigest ?? '');
    const askPeers = async (): Promise<boolean> => {
      for (const peer of this.parts.peers.selectFor(origin.senderId)) {
        try {
          const delta = await this.parts.exchange.askManifest(peer, head, base?.configVersion ?? 0);
          accept(applyDelta(base, delta));
          this.counters.fromPeers += 1;
          return true;
        } catch {
          // The next source is asked.
        }
      }
      return false;
    };
    if (!(await askPeers())) await this.#awaitStoreTurn(1, origin, askPeers);
    return cache.manifest(head.manifestDigest) ?? accept(await this.#manifestFromStore(head));
  }

  async #manifestFromStore(head: HeadRecord): Promise<Manifest> {
    const read = this.parts.configurationStore.readManifest(head.manifestDigest);
    const manifest = await withTimeout(read, storeTimeoutMs, 'Manifest read');
    this.counters.fromStore += 1;
    return manifest;
  }

  async #fetchSections(
    manifest: Manifest,
    names: readonly string[],
    origin: FetchOptions,
  ): Promise<void> {
    const lacking = (): readonly string[] =>
      names.filter((name) => !this.parts.cache.section(manifest.sections[name] ?? ''));
    if (lacking().length === 0) return;
    if (!origin.isStoreFirst) {
      const askPeers = async (): Promise<boolean> => {
        await this.#sectionsFromPeers(manifest, lacking, origin.senderId);
        return lacking().length === 0;
      };
      if (await askPeers()) return;
      if (await this.#awaitStoreTurn(lacking().length, origin, askPeers)) return;
    }
    await this.#sectionsFromStore(manifest, lacking());
    if (lacking().length > 0 && origin.isStoreFirst) {
      await this.#sectionsFromPeers(manifest, lacking, undefined);
    }
  }

  async #sectionsFromStore(manifest: Manifest, names: readonly string[]): Promise<void> {
    // Index sections without routes share one body.
    const left = [...new Map(names.map((name) => [manifest.sections[name], name])).values()];
    const readOneByOne = async (): Promise<void> => {
      for (let name = left.pop(); name !== undefined; name = left.pop()) {
        const digest = manifest.sections[name] ?? '';
        const read = this.parts.configurationStore.readSection(name, digest);
        const stored = await withTimeout(read, storeTimeoutMs, 'Section read').catch(() => null);
        if (stored) {
          this.counters.fromStore += 1;
          this.#accept(name, digest, stored.body);
        }
      }
    };
    await Promise.all(Array.from({ length: parallelReads }, readOneByOne));
  }

  async #sectionsFromPeers(
    manifest: Manifest,
    lacking: () => readonly string[],
    senderId: string | undefined,
  ): Promise<void> {
    for (const peer of this.parts.peers.selectFor(senderId)) {
      const names = lacking();
      if (names.length === 0) return;
      const nameOf = new Map(names.map((name) => [manifest.sections[name] ?? '', name]));
      try {
        const bodies = await this.parts.exchange.askSections(peer, [...nameOf.keys()]);
        for (const [digest, body] of bodies) {
          const name = nameOf.get(digest);
          if (name !== undefined && this.#accept(name, digest, body)) this.counters.fromPeers += 1;
        }
      } catch (error) {
        if (error instanceof RejectedSnapshotError) throw error;
        // The next source is asked.
      }
    }
  }

  /** Keeps a body if its digest matches; refuses it if it matches but breaks the schema. */
  #accept(name: string, digest: string, body: string): boolean {
    const { checker, cache } = this.parts;
    if (checker.digestOf(body) !== digest) {
      this.counters.badDigests += 1;
      return false;
    }
    try {
      const parsed = checker.parseSection(name, body);
      cache.addSection(digest, { body, parsed });
      return true;
    } catch (cause) {
      throw createRejectedSnapshotError(`Section ${name} breaks the schema`, cause);
    }
  }

  #build(head: HeadRecord, manifest: Manifest, names: readonly string[]): Snapshot {
    const { validator: guard, cache, checker } = this.parts;
    const held = new Map(
      names.flatMap((name) => {
        const section = cache.section(manifest.sections[name] ?? '');
        return section ? [[name, section.parsed] as const] : [];
      }),
    );
    const missing = guard.findMissingSections(names, new Set(held.keys()));
    if (missing.length > 0)
      throw createDistributionError(`Sections are missing: ${missing.join(', ')}`);
    let meshSection: MeshSection = { dataCentres: [] };
    const routes: RoutesSection[] = [];
    const services = new Map<string, ServiceSection>();
    for (const [name, parsed] of held) {
      if (parsed.kind === 'mesh') meshSection = parsed.mesh;
      else if (parsed.kind === 'routes') routes.push(parsed.routes);
      else services.set(name, parsed.section);
    }
    const mesh = checker.joinMesh(meshSection, routes);
    const dangling = guard.findDanglingReferences({ mesh, services }, manifest);
    if (dangling.length > 0) {
      throw createRejectedSnapshotError(`References are dangling: ${dangling.join('; ')}`);
    }
    return {
      configVersion: head.configVersion,
      manifestDigest: head.manifestDigest,
      mesh,
      services,
    };
  }

  /**
   * Spreads the store reads of nodes whose peers could not help at the same moment. Meanwhile peers
   * are asked again, so that in a cold start few nodes read and the others get it from them.
   * Says whether peers helped; rejects with `DistributionError` if the fetch has become useless.
   */
  async #awaitStoreTurn(
    reads: number,
    origin: FetchOptions,
    askPeers: () => Promise<boolean>,
  ): Promise<boolean> {
    const { members, random, expectedFleetSize } = this.parts;
    const nodes = Math.max(members.fleetSize(), expectedFleetSize);
    const endMs = monotonicNowMs() + burstDelayMs(nodes * reads, random);
    try {
      for (;;) {
        const leftMs = endMs - monotonicNowMs();
        this.#isWaiting = true;
        await sleep(Math.min(Math.max(0, leftMs), askAgainMs * (0.5 + random.next())));
        this.#isWaiting = false;
        if (origin.isSuperseded()) throw createDistributionError('A newer head is known');
        if (endMs <= monotonicNowMs()) return false;
        if (await askPeers()) return true;
      }
    } finally {
      this.#isWaiting = false;
    }
  }
}
