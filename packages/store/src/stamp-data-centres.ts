import type { Configuration, DataCentreIntent, MeshSection } from '@sequoiafield/types';

const stamp = (
  wanted: DataCentreIntent,
  accepted: DataCentreIntent | undefined,
  nowUnixMs: number,
): DataCentreIntent => {
  if (accepted?.state !== wanted.state) return { ...wanted, changedAtUnixMs: nowUnixMs };
  // A file that still names an older time must not end a running ramp; a future time is no ramp.
  const fromFileUnixMs = Math.min(wanted.changedAtUnixMs, nowUnixMs);
  return {
    ...wanted,
    changedAtUnixMs: Math.max(accepted.changedAtUnixMs, fromFileUnixMs),
  };
};

/**
 * Stamps `changedAtUnixMs` of every data centre whose state differs from the accepted one, and of
 * every new one; the others keep the later of the accepted time and the time in the file. In the
 * first configuration nothing returned, so the times of the files stay (0 if none: no ramp).
 *
 * @example
 * const stamped = stampDataCentres(configuration, acceptedMesh, wallNowUnixMs());
 */
export const stampDataCentres = (
  configuration: Configuration,
  acceptedMesh: MeshSection | undefined,
  nowUnixMs: number,
): Configuration => {
  const acceptedByName = new Map(
    (acceptedMesh ?? configuration.mesh).dataCentres.map((entry) => [entry.name, entry]),
  );
  const dataCentres = configuration.mesh.dataCentres.map((wanted) =>
    stamp(wanted, acceptedByName.get(wanted.name), nowUnixMs),
  );
  return { ...configuration, mesh: { ...configuration.mesh, dataCentres } };
};
