import type { Configuration, DataCentreIntent, MeshSection } from '@sequoiafield/types';

const stampDataCentre = (
  wanted: DataCentreIntent,
  accepted: DataCentreIntent | undefined,
  nowUnixMs: number,
): DataCentreIntent => {
  if (accepted?.state !== wanted.state) return { ...wanted, changedAtUnixMs: nowUnixMs };
  // An older time in the file must not end a running ramp; a future time is capped at the present.
  const fileChangedAtUnixMs = Math.min(wanted.changedAtUnixMs, nowUnixMs);
  return {
    ...wanted,
    changedAtUnixMs: Math.max(accepted.changedAtUnixMs, fileChangedAtUnixMs),
  };
};

/**
 * Stamps `changedAtUnixMs` of every data centre whose state differs from the accepted one, and of
 * every new one; the others keep the later of the accepted time and the time in the file. In the
 * first configuration no data centre was restored, so the times in the files stay (0 if none: no
 * ramp).
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
    stampDataCentre(wanted, acceptedByName.get(wanted.name), nowUnixMs),
  );
  return { ...configuration, mesh: { ...configuration.mesh, dataCentres } };
};
