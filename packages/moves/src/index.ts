export { createMoves, type Moves, type MovesOptions } from './create-moves.js';
export type { OwnServerView } from './evidence-sender.js';
export type { MoveRecordCodec } from './move-recorder.js';
export { moveStages } from './move-stages.js';
export { Judgement, judgeVersion } from './version-judge.js';
