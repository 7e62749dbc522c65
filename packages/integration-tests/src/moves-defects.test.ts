import { FaultKind } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { moveInstances } from './configurations.js';
import { changeVersion, failing } from './support/behaviour-changes.js';
import type { MoveCell } from './support/move-wave.js';
import { testMoves } from './support/test-moves.js';

const dataCentres = ['ath-1', 'ath-2'];
/** Stage from which the version has 10 % and has been clean for some seconds. */
const cleanStage = 3;

const { TakenBack } = MoveVerdict;

const cells: readonly MoveCell[] = [
  {
    name: 'fails after some clean seconds',
    service: 'late',
    expected: TakenBack,
    fromStage: cleanStage,
    inject: changeVersion('late', 'v2', failing),
  },
  {
    name: 'fails on one route only',
    service: 'routed',
    expected: TakenBack,
    inject: changeVersion('routed', 'v2', {
      fault: { kind: FaultKind.Fail, percent: 60, pathPrefix: '/routed/settle' },
    }),
  },
  {
    name: 'is slow instead of failing after some clean seconds',
    service: 'slow',
    expected: TakenBack,
    fromStage: cleanStage,
    inject: changeVersion('slow', 'v2', { fault: { kind: FaultKind.Slow, slowMs: 400 } }),
  },
];

testMoves(dataCentres, cells, (service) => moveInstances(service, dataCentres, 2));
