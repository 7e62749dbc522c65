import { createHash } from 'node:crypto';
import type {
  HeadRecord,
  Manifest,
  MeshSection,
  SeedRecord,
  ServiceSection,
} from '@sequoiafield/types';
import type { ConfigurationStore, SectionChecker, StoredSeeds } from '../index.js';

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Fake that computes digests and parses like the packages `config` and `store`, on plain JSON. */
export const fakeSectionChecker: SectionChecker = {
  digestOf,
  toCanonicalJson: (manifest) => JSON.stringify(Object.entries(manifest.sections).sort()),
  parseSection: (name, body) =>
    name === 'mesh'
      ? { kind: 'mesh', mesh: JSON.parse(body) as MeshSection }
      : { kind: 'service', section: JSON.parse(body) as ServiceSection },
  joinMesh: (mesh, routes) => ({
    ...mesh,
    routeIndex: routes.flatMap(({ routeIndex }) => routeIndex),
  }),
  checkReferences: ({ services }) =>
    [...services.values()].flatMap(({ routes }) =>
      routes.filter((route) => !services.has(route.service)).map((route) => route.name),
    ),
};

/** Creates the body of a service section with one route; `target` is the service of the route. */
export const makeServiceBody = (name: string, mark: number, target = name): string =>
  JSON.stringify({
    service: { name, slots: mark },
    routes: [{ name: `${name}-route`, service: target }],
    moves: [],
  });

const requireEntry = <T>(value: T | undefined): T => {
  if (value === undefined) throw new Error('The fake store has no entry for the digest');
  return value;
};

/** Fake in-memory store that can be unavailable or slow and counts calls. */
export class FakeConfigurationStore implements ConfigurationStore {
  isDown = false;

  delayMs = 5;

  calls = 0;

  /** Called with each head that a node reads. */
  onHeadRead: (head: HeadRecord | undefined) => void = () => undefined;

  head: HeadRecord | undefined;

  readonly manifests = new Map<string, Manifest>();

  readonly sections = new Map<string, string>();

  readonly seeds = new Map<string, StoredSeeds>();

  /** Accepts a configuration version; `bodies` maps section names to bodies. */
  accept(configVersion: number, bodies: Readonly<Record<string, string>>): void {
    const sections: Record<string, string> = {};
    for (const [name, body] of Object.entries(bodies)) {
      sections[name] = digestOf(body);
      this.sections.set(digestOf(body), body);
    }
    const manifest = { configVersion, sections };
    const manifestDigest = digestOf(fakeSectionChecker.toCanonicalJson(manifest));
    this.manifests.set(manifestDigest, manifest);
    const acceptedAtUnixMs = Date.now();
    const operationId = `operation-${configVersion}`;
    this.head = { configVersion, manifestDigest, operationId, acceptedAtUnixMs, author: 'test' };
  }

  readHead(): Promise<{ record: HeadRecord } | undefined> {
    return this.#call(() => {
      this.onHeadRead(this.head);
      return this.head && { record: this.head };
    });
  }

  readManifest(digest: string): Promise<Manifest> {
    return this.#call(() => requireEntry(this.manifests.get(digest)));
  }

  readSection(_: string, digest: string): Promise<{ body: string }> {
    return this.#call(() => ({ body: requireEntry(this.sections.get(digest)) }));
  }

  readSeeds(dataCentre: string): Promise<StoredSeeds | undefined> {
    return this.#call(() => this.seeds.get(dataCentre));
  }

  writeSeeds(record: SeedRecord, revision?: number): Promise<boolean> {
    return this.#call(() => {
      const current = this.seeds.get(record.dataCentre)?.revision;
      if (current !== revision) return false;
      this.seeds.set(record.dataCentre, { record, revision: (current ?? 0) + 1 });
      return true;
    });
  }

  async #call<T>(action: () => T): Promise<T> {
    this.calls += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, this.delayMs);
    });
    if (this.isDown) throw new Error('The fake store is unavailable');
    return action();
  }
}
