import { FaultKind, type BehaviourChange, type LocalMesh } from '@sequoiafield/stand-ins';

/** Half of the calls fail. */
export const failing: BehaviourChange = { fault: { kind: FaultKind.Fail, percent: 50 } };

/**
 * Changes the behaviour of all backend servers of a version.
 *
 * @example
 * await changeVersion('settlement', 'v2', failing)(mesh);
 */
export const changeVersion =
  (service: string, backendVersion: string, behaviour: BehaviourChange) =>
  async (mesh: LocalMesh): Promise<void> => {
    const servers = [...mesh.instances.values()].filter(
      ({ plan }) => plan.service === service && plan.backendVersion === backendVersion,
    );
    await Promise.all(servers.map((server) => server.change(behaviour)));
  };
