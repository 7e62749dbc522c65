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

/** A seeds record with its revision, on which a compare-and-swap write is conditional. */
export interface StoredSeeds {
  readonly record: SeedRecord;
  readonly revision: number;
}

/**
 * Access of the distribution to the platform's store; each call may reject. `ConfigRepository` of the
 * package `store` implements it.
 */
export interface ConfigurationStore {
  /** Undefined before the first configuration was accepted. */
  readHead(): Promise<{ readonly record: HeadRecord } | undefined>;
  readManifest(digest: string): Promise<Manifest>;
  /** Body of a section as it was written. */
  readSection(name: string, digest: string): Promise<{ readonly body: string }>;
  readSeeds(dataCentre: string): Promise<StoredSeeds | undefined>;
  /** Creates the record if `readRevision` is undefined; false if another node wrote first. */
  writeSeeds(record: SeedRecord, readRevision: number | undefined): Promise<boolean>;
}

/** A checked section. */
export type ParsedSection =
  | { readonly kind: 'mesh'; readonly mesh: MeshSection }
  | { readonly kind: 'routes'; readonly routes: RoutesSection }
  | { readonly kind: 'service'; readonly section: ServiceSection };

/** Digests and checks of configuration bodies, implemented by functions of the package `config`. */
export interface SectionChecker {
  /** Returns the SHA-256 (hex) of a text. */
  digestOf(text: string): string;
  /** Returns the text of a manifest over which the digest in the head is computed. */
  toCanonicalJson(manifest: Manifest): string;
  /** Parses a section and checks its schema; throws if it is invalid. */
  parseSection(name: string, body: string): ParsedSection;
  /** Joins the data centres and the whole route index from their sections. */
  joinMesh(mesh: MeshSection, routesSections: readonly RoutesSection[]): MeshTopology;
  /** Returns a description of each dangling reference; empty if there are none. */
  checkReferences(
    snapshot: Pick<Snapshot, 'mesh' | 'services'>,
    manifest: Manifest,
  ): readonly string[];
}
