import assert from 'node:assert/strict';
import type { LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import type { TestMove } from '../configurations.js';
import type { ServerLedgerLine } from './ledger-lines.js';
import { callsPerSecondPerMove, type MoveRun, type MoveSample } from './concurrent-moves.js';
import { readVerdict } from './store-records.js';

/** Time after the verdict from which no call may start on a version that was rolled back. */
const afterVerdictMaxMs = 3000;
/** Includes the 10 s after which a second node writes the verdict if the first write was lost. */
const verdictWrittenMaxMs = 25_000;
/** Time by which the last sampled stage of a move may lag behind its current stage. */
const stageLagMaxMs = 500;
/** Step of the sum over time of the calls that the share allows. */
const sumStepMs = 20;
/** Share of the new version at each proven stage; the first three are within the cap of 5 %. */
const stagePercents = [1, 2, 5, 10, 25, 50, 100] as const;
/** Fraction of the duration of a move after which its planned share reaches 100 %. */
const plannedFullAtFraction = 0.9;

/** Computes the largest share that the plan and the proven stage of a move allow, in percent. */
const computeAllowedPercent = (move: TestMove, provenStage: number, atUnixMs: number): number => {
  const fullAfterMs = (move.finishBy.getTime() - move.startAt.getTime()) * plannedFullAtFraction;
  const plannedPercent = (100 * (atUnixMs - move.startAt.getTime())) / fullAfterMs;
  return Math.max(0, Math.min(plannedPercent, stagePercents[provenStage] ?? 100));
};

const findProvenStage = (samples: readonly MoveSample[], atUnixMs: number): number =>
  Math.max(
    0,
    ...samples
      .filter((sample) => sample.atUnixMs <= atUnixMs + stageLagMaxMs)
      .map(({ provenStage }) => provenStage),
  );

/** Lists calls, proven stage and share of the new version per second, for a failure message. */
const describeSeconds = ({ move, samples, starts }: MoveRun): string => {
  const secondOf = ({ atUnixMs }: { readonly atUnixMs: number }): number =>
    Math.floor((atUnixMs - move.startAt.getTime()) / 1000);
  const seconds = [...new Set(starts.map(secondOf))];
  return seconds
    .map((second) => {
      const calls = starts.filter((start) => secondOf(start) === second);
      const newCalls = calls.filter(({ backendVersion }) => backendVersion === move.to);
      const last = samples.findLast((sample) => secondOf(sample) === second);
      const share = last?.sharePercent.toFixed(1) ?? '?';
      return `${second} s: ${newCalls.length} of ${calls.length}, stage ${last?.provenStage}, ${share} %`;
    })
    .join('\n');
};

/**
 * Computes how many calls may reach the new version until a time. It is based on the calls that
 * were sent, not on those that ran, because an overloaded old version refuses some.
 */
const computeNewVersionCallsMax = ({ move, samples }: MoveRun, untilUnixMs: number): number => {
  let expectedCalls = 0;
  for (let atUnixMs = move.startAt.getTime(); atUnixMs < untilUnixMs; atUnixMs += sumStepMs) {
    const sharePercent = computeAllowedPercent(move, findProvenStage(samples, atUnixMs), atUnixMs);
    expectedCalls += (callsPerSecondPerMove * sumStepMs * sharePercent) / (1000 * 100);
  }
  // The version of each call is chosen at random; the margin is 4 standard deviations of the count.
  return expectedCalls + 4 * Math.sqrt(expectedCalls) + 1;
};

/** Checks how many calls reached the new version until the verdict; returns the counts as text. */
const assertExposure = (run: MoveRun, verdictAtUnixMs: number): string => {
  const { move, starts, outcome } = run;
  const calls = starts.filter(({ atUnixMs }) => atUnixMs <= verdictAtUnixMs);
  const newVersionCalls = calls.filter(({ backendVersion }) => backendVersion === move.to).length;
  const callsMax = computeNewVersionCallsMax(run, verdictAtUnixMs);
  const counts = `${newVersionCalls} of ${calls.length} calls reached ${move.to}, at most ${callsMax.toFixed(1)} allowed`;
  const reasons = JSON.stringify([outcome.outcomes, outcome.reasons]).slice(0, 2000);
  assert.ok(newVersionCalls <= callsMax, `${counts}\n${reasons}\n${describeSeconds(run)}`);
  return counts;
};

const assertNoLateCalls = ({ move, starts }: MoveRun, verdictAtUnixMs: number): void => {
  const lateCalls = starts.filter(({ atUnixMs }) => atUnixMs > verdictAtUnixMs + afterVerdictMaxMs);
  const isNewVersion = ({ backendVersion }: ServerLedgerLine): boolean =>
    backendVersion === move.to;
  assert.equal(
    lateCalls.filter(isNewVersion).length,
    0,
    `calls to ${move.to} among ${lateCalls.length} calls ${afterVerdictMaxMs} ms after the verdict`,
  );
  assert.ok(lateCalls.length > 0, 'no call started late enough after the verdict to check');
};

/**
 * Checks a move whose load has ended: verdict, exposure, late calls and ledgers; returns a summary.
 *
 * @example
 * await checkMove(mesh, run, MoveVerdict.RolledBack);
 */
export const checkMove = async (
  mesh: LocalMesh,
  run: MoveRun,
  expected: MoveVerdict,
): Promise<string> => {
  const lastSample = run.samples.at(-1);
  const summary = JSON.stringify({ lastSample, outcomes: run.outcome.outcomes });
  assert.equal(run.outcome.verification.violationCount, 0, JSON.stringify(run.outcome));
  assert.equal(run.outcome.outcomes['wrong-answer'], 0, summary);
  assert.equal(lastSample?.verdict, expected, summary);
  await mesh.waitUntil(`verdict of ${run.move.id} is written`, verdictWrittenMaxMs, async () =>
    Boolean(await readVerdict(mesh, run.move.id)),
  );
  const record = await readVerdict(mesh, run.move.id);
  assert.equal(record?.verdict, expected, summary);
  const decidedAtUnixMs = record?.decidedAtUnixMs ?? 0;
  const exposure = assertExposure(run, decidedAtUnixMs);
  if (expected === MoveVerdict.RolledBack) assertNoLateCalls(run, decidedAtUnixMs);
  const verdictAfterMs = decidedAtUnixMs - run.move.startAt.getTime();
  return `${expected} after ${verdictAfterMs} ms, ${exposure}`;
};
