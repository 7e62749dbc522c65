import { baselineComponents } from './baseline-components.js';
import { moveCases } from './move-cases.js';
import type { MoveJob } from './run-jobs.js';
import { runMove } from './run-move.js';

// Runs one move for each message of the parent process; ends when the parent disconnects.
process.on('message', ({ caseIndex, seed, isBaseline }: MoveJob) => {
  const moveCase = moveCases[caseIndex];
  if (!moveCase) throw new RangeError(`Move case ${caseIndex} does not exist`);
  process.send?.(runMove(moveCase, seed, isBaseline ? baselineComponents : {}));
});
