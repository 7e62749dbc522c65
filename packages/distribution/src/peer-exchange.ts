import {
  LinkRequestKind,
  type HeadRecord,
  type LinkRequester,
  type MemberAnnouncement,
} from '@sequoiafield/types';
import { createDistributionError } from './create-distribution-error.js';
import type { ManifestDelta, SectionCache } from './section-cache.js';

interface DeltaRequest {
  readonly digest: string;
  readonly baseVersion: number;
}

/** How long an asked node waits for its own fetch of the same version before it says no. */
const answerWaitMs = 800;
const requestTimeoutMs = 1500;
/** Sections per answer, so that one answer stays under some 100 KB. */
const sectionsPerRequest = 64;

/** Says when the fetch of a node ends, so that requests for its parts wait instead of failing. */
export interface FetchProgress {
  /** Resolves when the fetch that runs now ended, at once if none runs, or after `timeoutMs`. */
  whenFetchEnded(timeoutMs: number): Promise<void>;
}

/**
 * Exchanges manifest deltas and sections with peers.
 *
 * @example
 * const delta = await exchange.askManifest(peer, head, 12);
 */
export class PeerExchange {
  constructor(
    private readonly links: LinkRequester,
    private readonly cache: SectionCache,
    private readonly progress: FetchProgress,
  ) {
    links.handle(LinkRequestKind.ManifestDelta, (body) => this.#onManifest(body as DeltaRequest));
    links.handle(LinkRequestKind.Sections, (body) => this.#onSections(body));
  }

  /** Rejects with `DistributionError` if the peer does not hold that manifest. */
  async askManifest(
    peer: MemberAnnouncement,
    head: HeadRecord,
    baseVersion: number,
  ): Promise<ManifestDelta> {
    const body: DeltaRequest = { digest: head.manifestDigest, baseVersion };
    const answer = await this.#request(peer, LinkRequestKind.ManifestDelta, body);
    const delta = answer as ManifestDelta | null;
    if (!delta || typeof delta.changed !== 'object' || !Array.isArray(delta.removed)) {
      throw createDistributionError(`${peer.id} does not hold manifest ${head.manifestDigest}`);
    }
    return delta;
  }

  /** Bodies that the peer holds, by digest; the caller checks them. */
  async askSections(
    peer: MemberAnnouncement,
    digests: readonly string[],
  ): Promise<ReadonlyMap<string, string>> {
    const bodies = new Map<string, string>();
    for (let start = 0; start < digests.length; start += sectionsPerRequest) {
      const page = digests.slice(start, start + sectionsPerRequest);
      const answer = await this.#request(peer, LinkRequestKind.Sections, { digests: page });
      for (const [digest, body] of Object.entries((answer ?? {}) as Record<string, unknown>)) {
        if (typeof body === 'string') bodies.set(digest, body);
      }
    }
    return bodies;
  }

  async #onManifest(request: DeltaRequest): Promise<ManifestDelta | null> {
    const digest = String(request.digest);
    if (!this.cache.manifest(digest)) await this.progress.whenFetchEnded(answerWaitMs);
    return this.cache.deltaFor(digest, Number(request.baseVersion)) ?? null;
  }

  async #onSections(body: unknown): Promise<Record<string, string>> {
    const { digests } = body as { digests: unknown };
    if (!Array.isArray(digests)) throw createDistributionError('Sections request is malformed');
    const isAllHeld = digests.every((digest) => this.cache.section(String(digest)));
    if (!isAllHeld) await this.progress.whenFetchEnded(answerWaitMs);
    const held = digests.slice(0, sectionsPerRequest).flatMap((digest) => {
      const section = this.cache.section(String(digest));
      return section ? [[String(digest), section.body] as const] : [];
    });
    return Object.fromEntries(held);
  }

  async #request(peer: MemberAnnouncement, kind: LinkRequestKind, body: unknown): Promise<unknown> {
    try {
      return await this.links.request(peer, kind, body, requestTimeoutMs);
    } catch (cause) {
      throw createDistributionError(`Request to ${peer.id} failed`, cause);
    }
  }
}
