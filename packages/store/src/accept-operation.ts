import {
  buildManifest,
  checkHead,
  toCanonicalJson,
  toSections,
  type ManifestBody,
  type SectionBody,
} from '@sequoiafield/config';
import { wallNowUnixMs } from '@sequoiafield/tables';
import type { Configuration, HeadRecord, Manifest, MeshSection } from '@sequoiafield/types';
import { listChangedSections, type ConfigReader, type HeadWithRevision } from './config-reader.js';
import { MoveDecidedError, NotAcceptedError, StoreOutcomeUnknownError } from './errors.js';
import { rejectDecidedMoves } from './reject-decided-moves.js';
import { HeadSwapResolver } from './head-swap-resolver.js';
import { mapInBatches } from './map-in-batches.js';
import { storeKeys } from './store-keys.js';
import { absentRevision, type PlatformStore } from './platform-store.js';
import { stampDataCentres } from './stamp-data-centres.js';
import { claimContent, writeContent } from './write-content.js';

/** Request of an operator to accept a configuration. */
export interface AcceptRequest {
  readonly configuration: Configuration;
  readonly author: string;
  /** Unique id of this request, by which its outcome is found after a lost answer. */
  readonly operationId: string;
}

/** Result of a successful accept. */
export type AcceptResult =
  | {
      readonly kind: 'accepted';
      readonly head: HeadRecord;
      /** Sections whose digest differs from the one accepted before, including removed ones. */
      readonly changedSections: readonly string[];
      /** False if the history entry could not be written; the next accept adds it. */
      readonly isHistoryWritten: boolean;
    }
  | { readonly kind: 'unchanged'; readonly head: HeadRecord };

/** The accepted configuration that the new one is based on. */
interface BaseConfiguration {
  readonly head: HeadWithRevision | undefined;
  readonly manifest: Manifest | undefined;
  readonly mesh: MeshSection | undefined;
}

/** One run of `accept`: reads the head, writes sections and manifest, swaps the head once. */
export class AcceptOperation {
  readonly #store: PlatformStore;

  readonly #reader: ConfigReader;

  readonly #request: AcceptRequest;

  constructor(store: PlatformStore, reader: ConfigReader, request: AcceptRequest) {
    this.#store = store;
    this.#reader = reader;
    this.#request = request;
  }

  async run(): Promise<AcceptResult> {
    const base = await this.#runOrReject('read what is accepted', () => this.#readBase());
    if (base.head?.record.operationId === this.#request.operationId) {
      return this.#finish(base.head.record, []);
    }
    const nowUnixMs = wallNowUnixMs();
    const sections = toSections(
      stampDataCentres(this.#request.configuration, base.mesh, nowUnixMs),
    );
    const manifest = buildManifest((base.head?.record.configVersion ?? 0) + 1, sections);
    const changedSections = listChangedSections(base.manifest, manifest.manifest);
    if (base.head && changedSections.length === 0) {
      return { kind: 'unchanged', head: base.head.record };
    }
    const record = this.#buildRecord(manifest, nowUnixMs);
    await this.#runOrReject('read the verdicts', () => this.#checkMoves(base, changedSections));
    await this.#runOrReject('write the new sections', () =>
      this.#writeContents(base, sections, manifest),
    );
    return this.#finish(await this.#swapHead(base.head, record), changedSections);
  }

  async #readBase(): Promise<BaseConfiguration> {
    const head = await this.#reader.readHead();
    if (!head) return { head, manifest: undefined, mesh: undefined };
    const manifest = await this.#reader.readManifest(head.record.manifestDigest);
    const mesh = await this.#reader.readMesh(manifest);
    return { head, manifest, mesh };
  }

  async #checkMoves(base: BaseConfiguration, changedSections: readonly string[]): Promise<void> {
    if (!base.manifest) return;
    const { configuration } = this.#request;
    await rejectDecidedMoves(this.#reader, base.manifest, changedSections, configuration);
  }

  #buildRecord({ manifest, digest }: ManifestBody, nowUnixMs: number): HeadRecord {
    return checkHead({
      configVersion: manifest.configVersion,
      manifestDigest: digest,
      operationId: this.#request.operationId,
      acceptedAtUnixMs: nowUnixMs,
      author: this.#request.author,
    });
  }

  async #writeContents(
    base: BaseConfiguration,
    sections: readonly SectionBody[],
    manifest: ManifestBody,
  ): Promise<void> {
    // The history entry of the base version is written before the next head, so that an operator whose
    // answer was lost finds the operation in the history even after later versions were accepted.
    if (base.head) await this.#writeHistory(base.head.record);
    const baseSections = base.manifest?.sections ?? {};
    const baseDigests = new Set(Object.values(baseSections));
    const newBodies = new Map(
      sections
        .filter(({ digest }) => !baseDigests.has(digest))
        .map(({ digest, body }) => [digest, body]),
    );
    await mapInBatches([...newBodies], ([digest, body]) =>
      claimContent(this.#store, storeKeys.section(digest), body),
    );
    await writeContent(this.#store, storeKeys.manifest(manifest.digest), manifest.body);
  }

  async #swapHead(base: HeadWithRevision | undefined, record: HeadRecord): Promise<HeadRecord> {
    const expectedRevision = base?.revision ?? absentRevision;
    const resolver = new HeadSwapResolver(this.#reader, base, record);
    try {
      const result = await this.#store.compareAndSwap(
        storeKeys.head,
        expectedRevision,
        toCanonicalJson(record),
      );
      if (result.kind === 'written') return record;
    } catch (error) {
      if (error instanceof StoreOutcomeUnknownError) return resolver.resolveLostAnswer(error);
      throw this.#toNotAcceptedError('swap the head', error);
    }
    return resolver.resolveConflict();
  }

  async #finish(head: HeadRecord, changedSections: readonly string[]): Promise<AcceptResult> {
    const isHistoryWritten = await this.#writeHistory(head).then(
      () => true,
      () => false,
    );
    return { kind: 'accepted', head, changedSections, isHistoryWritten };
  }

  async #writeHistory(head: HeadRecord): Promise<boolean> {
    const key = storeKeys.history(head.configVersion);
    return writeContent(this.#store, key, toCanonicalJson(head));
  }

  async #runOrReject<T>(action: string, run: () => Promise<T>): Promise<T> {
    try {
      return await run();
    } catch (error) {
      throw this.#toNotAcceptedError(action, error);
    }
  }

  #toNotAcceptedError(action: string, cause: unknown): Error {
    if (cause instanceof MoveDecidedError) return cause;
    return new NotAcceptedError(`Nothing was accepted; could not ${action}:`, { cause });
  }
}
