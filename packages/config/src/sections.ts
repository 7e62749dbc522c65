import type { Configuration, Manifest, MeshSection, ServiceSection } from '@sequoiafield/types';
import { digestOf, toCanonicalJson } from './canonical-json.js';

/** Name of the section with the data centres and the route index. */
export const meshSectionName = 'mesh';

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
  /** SHA-256 of `body` in hex; the head names it. */
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
  section: MeshSection | ServiceSection,
): SectionBody => {
  const body = toCanonicalJson(section);
  return { name, body, digest: digestOf(body) };
};

/**
 * Splits a configuration into its sections: `mesh` and one per service, in the order of names.
 *
 * @example
 * const bodies = toSections(configuration);
 */
export const toSections = ({ mesh, services }: Configuration): readonly SectionBody[] => [
  serializeSection(meshSectionName, mesh),
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
  return { manifest, body, digest: digestOf(body) };
};
