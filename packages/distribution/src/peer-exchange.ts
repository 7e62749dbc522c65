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

/** Longest time that a request waits for this node's own fetch of the version before it is answered. */
const ownFetchWaitMaxMs = 800;
const requestTimeoutMs = 1500;
/** Maximum sections per answer, so that one answer stays under about 100 KB. */
const sectionsPerRequestMax = 64;

/** Reports the end of the running fetch, so that requests for its content wait instead of failing. */
export interface FetchProgress {
  /** Resolves when the running fetch has ended, at once if none runs, or after `timeoutMs`. */
  whenFetchEnded(timeoutMs: number): Promise<void>;
}

/**
 * Requests manifest deltas and sections from peers and answers their requests.
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
    links.handle(LinkRequestKind.ManifestDelta, (body) =>
      this.#answerManifestDelta(body as DeltaRequest),
    );
    links.handle(LinkRequestKind.Sections, (body) => this.#answerSections(body));
  }

  /** Fetches a manifest delta; rejects with `DistributionError` if the peer lacks the manifest. */
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

  /** Fetches the bodies that the peer holds, by digest; the caller checks them. */
  async askSections(
    peer: MemberAnnouncement,
    digests: readonly string[],
  ): Promise<ReadonlyMap<string, string>> {
    const bodies = new Map<string, string>();
    for (let start = 0; start < digests.length; start += sectionsPerRequestMax) {
      const page = digests.slice(start, start + sectionsPerRequestMax);
      const answer = await this.#request(peer, LinkRequestKind.Sections, { digests: page });
      for (const [digest, body] of Object.entries((answer ?? {}) as Record<string, unknown>)) {
        if (typeof body === 'string') bodies.set(digest, body);
      }
    }
    return bodies;
  }

  async #answerManifestDelta(request: DeltaRequest): Promise<ManifestDelta | null> {
    const digest = String(request.digest);
    if (!this.cache.manifest(digest)) await this.progress.whenFetchEnded(ownFetchWaitMaxMs);
    return this.cache.deltaFor(digest, Number(request.baseVersion)) ?? null;
  }

  async #answerSections(body: unknown): Promise<Record<string, string>> {
    const { digests } = body as { digests: unknown };
    if (!Array.isArray(digests))
      throw createDistributionError('Sections request lacks a list of digests');
    const isAllHeld = digests.every((digest) => this.cache.section(String(digest)));
    if (!isAllHeld) await this.progress.whenFetchEnded(ownFetchWaitMaxMs);
    const held = digests.slice(0, sectionsPerRequestMax).flatMap((digest) => {
      const section = this.cache.section(String(digest));
      return section ? [[String(digest), section.body] as const] : [];
    });
    return Object.fromEntries(held);
  }

  async #request(peer: MemberAnnouncement, kind: LinkRequestKind, body: unknown): Promise<unknown> {
    try {
      return await this.links.request(peer, kind, body, requestTimeoutMs);
    } catch (cause) {
      throw createDistributionError(
        `Link request ${LinkRequestKind[kind]} to ${peer.id} failed`,
        cause,
      );
    }
  }
}
