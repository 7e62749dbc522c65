import {
  meshSectionName,
  routesSectionNames,
  type Configuration,
  type Manifest,
  type MeshTopology,
  type MeshSection,
  type RouteIndexEntry,
  type RoutesSection,
  type ServiceSection,
} from '@sequoiafield/types';
import { sha256Hex, toCanonicalJson } from './canonical-json.js';

/** A section as it is stored and exchanged: its name, canonical JSON and digest of that JSON. */
export interface SectionBody {
  readonly name: string;
  readonly body: string;
  /** SHA-256 of `body` in hex. */
  readonly digest: string;
}

/** A manifest as it is stored and exchanged. */
export interface ManifestBody {
  readonly manifest: Manifest;
  readonly body: string;
  /** SHA-256 of `body` in hex; the head record refers to the manifest by this digest. */
  readonly digest: string;
}

/**
 * Serializes one section.
 *
 * @example
 * const { digest } = serializeSection('mesh', configuration.mesh);
 */
export const serializeSection = (
  name: string,
  section: MeshSection | RoutesSection | ServiceSection,
): SectionBody => {
  const body = toCanonicalJson(section);
  return { name, body, digest: sha256Hex(body) };
};

/**
 * Name of the section of the route index that holds the routes of a service: the first 32 bits of
 * the name's SHA-256 modulo the number of sections.
 *
 * @example
 * routesSectionOf('settlement'); // such as 'routes-07'
 */
export const routesSectionOf = (service: string): string => {
  const hash = Number.parseInt(sha256Hex(service).slice(0, 8), 16);
  return routesSectionNames[hash % routesSectionNames.length] as string;
};

/** Splits the route index into its sections; a section without routes is included too. */
const toRoutesSections = (routeIndex: readonly RouteIndexEntry[]): readonly SectionBody[] => {
  const byName = new Map<string, RouteIndexEntry[]>(routesSectionNames.map((name) => [name, []]));
  routeIndex.forEach((entry) => byName.get(routesSectionOf(entry.service))?.push(entry));
  return [...byName].map(([name, entries]) => serializeSection(name, { routeIndex: entries }));
};

/**
 * Joins `mesh` and the sections of the route index; the index is sorted by route name, regardless
 * of the order of the sections.
 *
 * @example
 * const mesh = joinMesh(meshSection, routesSections);
 */
export const joinMesh = (
  meshSection: MeshSection,
  routesSections: readonly RoutesSection[],
): MeshTopology => ({
  ...meshSection,
  routeIndex: routesSections
    .flatMap(({ routeIndex }) => routeIndex)
    .sort((left, right) => (left.name < right.name ? -1 : 1)),
});

/**
 * Splits a configuration into its sections: `mesh`, those of the route index and one per service,
 * each group sorted by name.
 *
 * @example
 * const bodies = toSections(configuration);
 */
export const toSections = ({ mesh, services }: Configuration): readonly SectionBody[] => [
  serializeSection(meshSectionName, {
    dataCentres: mesh.dataCentres,
    ...(mesh.accounts && { accounts: mesh.accounts }),
  }),
  ...toRoutesSections(mesh.routeIndex),
  ...[...services]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([name, section]) => serializeSection(name, section)),
];

/**
 * Builds the manifest of a configuration version from its sections.
 *
 * @example
 * const { digest } = buildManifest(7, toSections(configuration));
 */
export const buildManifest = (
  configVersion: number,
  sections: readonly SectionBody[],
): ManifestBody => {
  const manifest: Manifest = {
    configVersion,
    sections: Object.fromEntries(sections.map(({ name, digest }) => [name, digest])),
  };
  const body = toCanonicalJson(manifest);
  return { manifest, body, digest: sha256Hex(body) };
};
