import type {
  HeadRecord,
  Manifest,
  MeshTopology,
  MeshSection,
  RoutesSection,
  SeedRecord,
  ServiceSection,
  Snapshot,
} from '@sequoiafield/types';

/** A seeds record with the revision that a compare-and-swap write names. */
export interface StoredSeeds {
  readonly record: SeedRecord;
  readonly revision: number;
}

/**
 * What distribution reads and writes in the platform's store; each call may reject.
 * `ConfigRepository` of the package `store` fits.
 */
export interface ConfigurationStore {
  /** Undefined before the first configuration was accepted. */
  readHead(): Promise<{ readonly record: HeadRecord } | undefined>;
  readManifest(digest: string): Promise<Manifest>;
  /** Body of a section as it was written. */
  readSection(name: string, digest: string): Promise<{ readonly body: string }>;
  readSeeds(dataCentre: string): Promise<StoredSeeds | undefined>;
  /** `readRevision` undefined creates the record; false if another write came first. */
  writeSeeds(record: SeedRecord, readRevision: number | undefined): Promise<boolean>;
}

/** A checked section. */
export type ParsedSection =
  | { readonly kind: 'mesh'; readonly mesh: MeshSection }
  | { readonly kind: 'routes'; readonly routes: RoutesSection }
  | { readonly kind: 'service'; readonly section: ServiceSection };

/** Digests and checks of configuration bodies; the functions of the package `config` fit. */
export interface SectionChecker {
  /** SHA-256 (hex) of a text. */
  digestOf(text: string): string;
  /** Text of a manifest that the head's digest was computed over. */
  toCanonicalJson(manifest: Manifest): string;
  /** Parses a section and checks its schema; throws if it is wrong. */
  parseSection(name: string, body: string): ParsedSection;
  /** Data centres and the whole route index from their sections. */
  joinMesh(mesh: MeshSection, routesSections: readonly RoutesSection[]): MeshTopology;
  /** Dangling references in words, empty if there are none. */
  checkReferences(
    snapshot: Pick<Snapshot, 'mesh' | 'services'>,
    manifest: Manifest,
  ): readonly string[];
}
