import { CallFaultKind, type LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { planMoveInstances } from './configurations.js';
import { changeVersionBehaviour, failHalfOfCalls } from './support/behaviour-changes.js';
import type { MoveScenario } from './support/concurrent-moves.js';
import { defineMoveTests } from './support/define-move-tests.js';

const dataCentres = ['ath-1', 'ath-2'];
/** Stage from which the version has 10 % and has been clean for some seconds. */
const cleanStage = 3;

/** A node that has logged a proven stage is one of those that judge the move. */
const findJudge = (mesh: LocalMesh, service: string) => {
  const judge = [...mesh.instances.values()].find(
    ({ plan, node }) => plan.service === service && node?.logTail(400).includes('moveStageProven'),
  );
  if (!judge) throw new Error(`No node of ${service} has logged a proven stage`);
  return judge;
};

const { RolledBack: TakenBack, Done } = MoveVerdict;

const cells: readonly MoveScenario[] = [
  {
    name: 'fails only under load',
    service: 'loaded',
    expected: TakenBack,
    inject: changeVersionBehaviour('loaded', 'v2', {
      serviceTimeMs: 100,
      fault: { kind: CallFaultKind.Fail, runningAtLeast: 3 },
    }),
  },
  {
    name: 'is good beside a noisy old version',
    service: 'noisy',
    expected: Done,
    inject: changeVersionBehaviour('noisy', 'v1', {
      fault: { kind: CallFaultKind.Fail, percent: 5 },
    }),
  },
  {
    name: 'fails while a judging node is killed',
    service: 'judged',
    expected: TakenBack,
    injectFromStage: cleanStage,
    inject: async (mesh) => {
      await findJudge(mesh, 'judged').node?.kill();
      await changeVersionBehaviour('judged', 'v2', failHalfOfCalls)(mesh);
    },
  },
];

/** With a judge killed, each version keeps two servers, without which no version is judged. */
const serversPerVersion = (service: string): number => (service === 'judged' ? 3 : 2);

defineMoveTests(dataCentres, cells, (service) =>
  planMoveInstances(service, dataCentres, serversPerVersion(service)),
);
