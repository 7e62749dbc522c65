import { CallFaultKind } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { planMoveInstances } from './configurations.js';
import { changeVersionBehaviour, failHalfOfCalls } from './support/behaviour-changes.js';
import type { MoveScenario } from './support/concurrent-moves.js';
import { defineMoveTests } from './support/define-move-tests.js';

const dataCentres = ['ath-1', 'ath-2'];
/** Proven stage from which the new version has 10 % and has had no failure for some seconds. */
const tenPercentStage = 3;

const { RolledBack } = MoveVerdict;

const scenarios: readonly MoveScenario[] = [
  {
    name: 'fails only after some seconds',
    service: 'late',
    expected: RolledBack,
    injectFromStage: tenPercentStage,
    inject: changeVersionBehaviour('late', 'v2', failHalfOfCalls),
  },
  {
    name: 'fails on one route only',
    service: 'routed',
    expected: RolledBack,
    inject: changeVersionBehaviour('routed', 'v2', {
      fault: { kind: CallFaultKind.Fail, percent: 60, pathPrefix: '/routed/settle' },
    }),
  },
  {
    name: 'becomes slow after some seconds',
    service: 'slow',
    expected: RolledBack,
    injectFromStage: tenPercentStage,
    inject: changeVersionBehaviour('slow', 'v2', {
      fault: { kind: CallFaultKind.Slow, slowMs: 400 },
    }),
  },
];

defineMoveTests(dataCentres, scenarios, (service) => planMoveInstances(service, dataCentres, 2));
