import { createHash } from 'node:crypto';
import type { SectionChecker } from '@sequoiafield/distribution';
import type { MeshSection, ServiceSection } from '@sequoiafield/types';

/** SHA-256 of a text in hex. */
export const sha256Hex = (text: string): string => createHash('sha256').update(text).digest('hex');

/** Digests and parses plain JSON sections. */
export const jsonSectionChecker: SectionChecker = {
  digestOf: sha256Hex,
  toCanonicalJson: ({ configVersion, sections }) =>
    JSON.stringify([configVersion, Object.entries(sections).sort()]),
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
