import { CallFaultKind, type LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { planMoveInstances } from './configurations.js';
import { changeVersionBehaviour, failHalfOfCalls } from './support/behaviour-changes.js';
import type { MoveScenario } from './support/concurrent-moves.js';
import { defineMoveTests } from './support/define-move-tests.js';

const dataCentres = ['ath-1', 'ath-2'];
/** Proven stage from which the new version has 10 % and has had no failure for some seconds. */
const tenPercentStage = 3;

/** Finds an instance whose node judges the move: it has logged a proven stage. */
const findJudgingInstance = (mesh: LocalMesh, service: string) => {
  const judgingInstance = [...mesh.instances.values()].find(
    ({ plan, node }) => plan.service === service && node?.logTail(400).includes('moveStageProven'),
  );
  if (!judgingInstance) throw new Error(`No node of ${service} has logged a proven stage`);
  return judgingInstance;
};

const { RolledBack, Done } = MoveVerdict;

const scenarios: readonly MoveScenario[] = [
  {
    name: 'fails only under load',
    service: 'loaded',
    expected: RolledBack,
    inject: changeVersionBehaviour('loaded', 'v2', {
      serviceTimeMs: 100,
      fault: { kind: CallFaultKind.Fail, runningAtLeast: 3 },
    }),
  },
  {
    name: 'is good while the old version fails some calls',
    service: 'noisy',
    expected: Done,
    inject: changeVersionBehaviour('noisy', 'v1', {
      fault: { kind: CallFaultKind.Fail, percent: 5 },
    }),
  },
  {
    name: 'fails while a judging node is killed',
    service: 'judged',
    expected: RolledBack,
    injectFromStage: tenPercentStage,
    inject: async (mesh) => {
      await findJudgingInstance(mesh, 'judged').node?.kill();
      await changeVersionBehaviour('judged', 'v2', failHalfOfCalls)(mesh);
    },
  },
];

/** A version is judged only with two servers or more; `judged` has a third, as a node is killed. */
const serversPerVersion = (service: string): number => (service === 'judged' ? 3 : 2);

defineMoveTests(dataCentres, scenarios, (service) =>
  planMoveInstances(service, dataCentres, serversPerVersion(service)),
);
