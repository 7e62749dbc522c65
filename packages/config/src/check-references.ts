import {
  sharedSectionNames,
  type Manifest,
  type RouteIndexEntry,
  type ServiceSection,
  type Snapshot,
} from '@sequoiafield/types';

const describeEntry = ({ name, service, method, path }: RouteIndexEntry): string =>
  `${name} (${method} ${path} to ${service})`;

const checkIndexAgainstManifest = (
  index: readonly RouteIndexEntry[],
  manifest: Manifest,
): string[] =>
  index
    .filter(({ service }) => !Object.hasOwn(manifest.sections, service))
    .map((entry) => `route ${describeEntry(entry)} refers to a service without a section`);

const checkServiceAgainstIndex = (
  name: string,
  section: ServiceSection,
  index: readonly RouteIndexEntry[],
): string[] => {
  const indexedRoutes = new Set(index.filter(({ service }) => service === name).map(describeEntry));
  const sectionRoutes = new Set(section.routes.map(describeEntry));
  return [
    ...[...sectionRoutes]
      .filter((entry) => !indexedRoutes.has(entry))
      .map((entry) => `route ${entry} is not in the route index`),
    ...[...indexedRoutes]
      .filter((entry) => !sectionRoutes.has(entry))
      .map((entry) => `route ${entry} of the index is not in its service's section`),
  ];
};

/**
 * Checks a whole snapshot before it is swapped in: every route of the index refers to a section of
 * the manifest, and each section in the snapshot agrees with index and manifest. A snapshot may
 * hold fewer sections than the manifest, since a node holds only the services that it routes to.
 *
 * @example
 * const problems = checkReferences({ mesh, services }, manifest);
 * if (problems.length > 0) rejectSnapshot(problems);
 * @returns one line per dangling or inconsistent reference; empty if there is none.
 */
export const checkReferences = (
  snapshot: Pick<Snapshot, 'mesh' | 'services'>,
  manifest: Manifest,
): readonly string[] => {
  const problems = [
    ...sharedSectionNames
      .filter((name) => !Object.hasOwn(manifest.sections, name))
      .map((name) => `the manifest has no section ${name}`),
    ...checkIndexAgainstManifest(snapshot.mesh.routeIndex, manifest),
  ];
  snapshot.services.forEach((section, name) => {
    if (sharedSectionNames.includes(name) || !Object.hasOwn(manifest.sections, name)) {
      problems.push(`section ${name} is not in the manifest`);
    }
    if (section.service.name !== name) {
      problems.push(`section ${name} describes service ${section.service.name}`);
    }
    problems.push(...checkServiceAgainstIndex(name, section, snapshot.mesh.routeIndex));
  });
  return problems;
};
