import { CallFaultKind, type BehaviourChange, type LocalMesh } from '@sequoiafield/stand-ins';

/** Makes half of the calls fail. */
export const failHalfOfCalls: BehaviourChange = {
  fault: { kind: CallFaultKind.Fail, percent: 50 },
};

/**
 * Returns a function that changes the behaviour of all backend servers of a version.
 *
 * @example
 * await changeVersionBehaviour('settlement', 'v2', failHalfOfCalls)(mesh);
 */
export const changeVersionBehaviour =
  (service: string, backendVersion: string, behaviour: BehaviourChange) =>
  async (mesh: LocalMesh): Promise<void> => {
    const servers = [...mesh.instances.values()].filter(
      ({ plan }) => plan.service === service && plan.backendVersion === backendVersion,
    );
    await Promise.all(servers.map((server) => server.changeBehaviour(behaviour)));
  };
