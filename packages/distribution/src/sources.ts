import type {
  HeadRecord,
  Manifest,
  MemberAnnouncement,
  MeshSection,
  ServiceSection,
} from '@sequoiafield/types';

/** Recent node addresses of one data centre, kept in the store. */
export interface SeedsRecord {
  readonly members: readonly MemberAnnouncement[];
  readonly writtenAtUnixMs: number;
}

/** A seeds record with the revision that a compare-and-swap write names. */
export interface StoredSeeds {
  readonly record: SeedsRecord;
  readonly revision: number;
}

/** What distribution reads and writes in the platform's store; each call may reject. */
export interface HeadSource {
  /** Undefined before the first configuration was accepted. */
  readHead(): Promise<HeadRecord | undefined>;
  readManifest(digest: string): Promise<Manifest | undefined>;
  /** Body of a section as it was written. */
  readSection(digest: string): Promise<string | undefined>;
  readSeeds(dataCentre: string): Promise<StoredSeeds | undefined>;
  /** `revision` undefined creates the record; resolves with false if another write came first. */
  writeSeeds(
    dataCentre: string,
    record: SeedsRecord,
    revision: number | undefined,
  ): Promise<boolean>;
}

/** Digests and checks of configuration bodies. */
export interface SectionChecker {
  /** SHA-256 (hex) of a section body. */
  digestSection(body: string): string;
  /** SHA-256 (hex) that the head record names for a manifest. */
  digestManifest(manifest: Manifest): string;
  /** Parses and checks the `mesh` section; throws if it does not match the schema. */
  parseMesh(body: string): MeshSection;
  /** Parses and checks a service section; throws if it does not match the schema. */
  parseService(body: string): ServiceSection;
  /** Dangling references in words, empty if there are none. */
  checkReferences(
    mesh: MeshSection,
    services: ReadonlyMap<string, ServiceSection>,
  ): readonly string[];
}

/** Name of the section with data centres and the route index. */
export const meshSectionName = 'mesh';
