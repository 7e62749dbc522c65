import { CallFaultKind } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { planMoveInstances } from './configurations.js';
import { changeVersionBehaviour, failHalfOfCalls } from './support/behaviour-changes.js';
import type { MoveScenario } from './support/concurrent-moves.js';
import { defineMoveTests } from './support/define-move-tests.js';

const dataCentres = ['ath-1', 'ath-2'];
/** Stage from which the version has 10 % and has been clean for some seconds. */
const cleanStage = 3;

const { RolledBack: TakenBack } = MoveVerdict;

const cells: readonly MoveScenario[] = [
  {
    name: 'fails after some clean seconds',
    service: 'late',
    expected: TakenBack,
    injectFromStage: cleanStage,
    inject: changeVersionBehaviour('late', 'v2', failHalfOfCalls),
  },
  {
    name: 'fails on one route only',
    service: 'routed',
    expected: TakenBack,
    inject: changeVersionBehaviour('routed', 'v2', {
      fault: { kind: CallFaultKind.Fail, percent: 60, pathPrefix: '/routed/settle' },
    }),
  },
  {
    name: 'is slow instead of failing after some clean seconds',
    service: 'slow',
    expected: TakenBack,
    injectFromStage: cleanStage,
    inject: changeVersionBehaviour('slow', 'v2', {
      fault: { kind: CallFaultKind.Slow, slowMs: 400 },
    }),
  },
];

defineMoveTests(dataCentres, cells, (service) => planMoveInstances(service, dataCentres, 2));
