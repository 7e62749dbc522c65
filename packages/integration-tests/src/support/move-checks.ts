import assert from 'node:assert/strict';
import type { LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import type { TestMove } from '../configurations.js';
import type { ServerLedgerLine } from './ledger-lines.js';
import { callsPerSecondPerMove, type MoveRun, type MoveSample } from './concurrent-moves.js';
import { readVerdict } from './store-records.js';

/** New calls later than this after the verdict break the invariant. */
const afterVerdictMaxMs = 3000;
/** The second writer of a verdict, which covers a lost first one, waits 10 s. */
const verdictWrittenMaxMs = 25_000;
/** Time for which the last known stage of a move may be older than the stage in force. */
const stageLagMs = 500;
/** Step of the sum over time of the calls that the cap allows. */
const stepMs = 20;
/** Share of the new version at each proven stage; the first three are within the cap of 5 %. */
const stagePercents = [1, 2, 5, 10, 25, 50, 100] as const;
/** Part of the time of a move after which its plan reaches 100 %. */
const plannedFullAtFraction = 0.9;

/** Largest share that the operator's intent allows at a time, in percent. */
const allowedPercent = (move: TestMove, provenStage: number, atUnixMs: number): number => {
  const fullAfterMs = (move.finishBy.getTime() - move.startAt.getTime()) * plannedFullAtFraction;
  const planned = (100 * (atUnixMs - move.startAt.getTime())) / fullAfterMs;
  return Math.max(0, Math.min(planned, stagePercents[provenStage] ?? 100));
};

const stageAt = (samples: readonly MoveSample[], atUnixMs: number): number =>
  Math.max(
    0,
    ...samples
      .filter((sample) => sample.atUnixMs <= atUnixMs + stageLagMs)
      .map(({ provenStage }) => provenStage),
  );

/** Calls of each version, proven stage and share second by second, for the message of a failure. */
const describeSeconds = ({ move, samples, starts }: MoveRun): string => {
  const secondOf = ({ atUnixMs }: { readonly atUnixMs: number }): number =>
    Math.floor((atUnixMs - move.startAt.getTime()) / 1000);
  const seconds = [...new Set(starts.map(secondOf))];
  return seconds
    .map((second) => {
      const calls = starts.filter((start) => secondOf(start) === second);
      const hits = calls.filter(({ backendVersion }) => backendVersion === move.to);
      const last = samples.findLast((sample) => secondOf(sample) === second);
      const share = last?.sharePercent.toFixed(1) ?? '?';
      return `${second} s: ${hits.length} of ${calls.length}, stage ${last?.provenStage}, ${share} %`;
    })
    .join('\n');
};

/**
 * Most calls that may reach the new version by a time. Calls that were sent count, not those that
 * ran, because an overloaded old version refuses some.
 */
const mostHits = ({ move, samples }: MoveRun, untilUnixMs: number): number => {
  let expected = 0;
  for (let at = move.startAt.getTime(); at < untilUnixMs; at += stepMs) {
    const percent = allowedPercent(move, stageAt(samples, at), at);
    expected += (callsPerSecondPerMove * stepMs * percent) / (1000 * 100);
  }
  // Each call chooses its version at random; 4 standard deviations of the count above the cap.
  return expected + 4 * Math.sqrt(expected) + 1;
};

/** Checks the calls that reached the new version by the verdict against the cap; returns both. */
const assertExposure = (run: MoveRun, verdictAtUnixMs: number): string => {
  const { move, starts, outcome } = run;
  const until = starts.filter(({ atUnixMs }) => atUnixMs <= verdictAtUnixMs);
  const hits = until.filter(({ backendVersion }) => backendVersion === move.to).length;
  const most = mostHits(run, verdictAtUnixMs);
  const counts = `${hits} of ${until.length} calls hit ${move.to}, at most ${most.toFixed(1)}`;
  const reasons = JSON.stringify([outcome.outcomes, outcome.reasons]).slice(0, 2000);
  assert.ok(hits <= most, `${counts}\n${reasons}\n${describeSeconds(run)}`);
  return counts;
};

const assertNoLateCalls = ({ move, starts }: MoveRun, verdictAtUnixMs: number): void => {
  const late = starts.filter(({ atUnixMs }) => atUnixMs > verdictAtUnixMs + afterVerdictMaxMs);
  const isNew = ({ backendVersion }: ServerLedgerLine): boolean => backendVersion === move.to;
  assert.equal(late.filter(isNew).length, 0, `late calls to ${move.to} of ${late.length}`);
  assert.ok(late.length > 0, 'no call was late enough to show anything');
};

/**
 * Checks a move whose load has ended: verdict, time of the verdict, exposure and ledgers.
 *
 * @example
 * await checkMove(mesh, run, MoveVerdict.RolledBack);
 */
export const checkMove = async (
  mesh: LocalMesh,
  run: MoveRun,
  expected: MoveVerdict,
): Promise<string> => {
  const last = run.samples.at(-1);
  const seen = JSON.stringify({ last, outcomes: run.outcome.outcomes });
  assert.equal(run.outcome.verification.violationCount, 0, JSON.stringify(run.outcome));
  assert.equal(run.outcome.outcomes['wrong-answer'], 0, seen);
  assert.equal(last?.verdict, expected, seen);
  await mesh.waitUntil(`verdict of ${run.move.id} is written`, verdictWrittenMaxMs, async () =>
    Boolean(await readVerdict(mesh, run.move.id)),
  );
  const record = await readVerdict(mesh, run.move.id);
  assert.equal(record?.verdict, expected, seen);
  const decidedAtUnixMs = record?.decidedAtUnixMs ?? 0;
  const exposure = assertExposure(run, decidedAtUnixMs);
  if (expected === MoveVerdict.RolledBack) assertNoLateCalls(run, decidedAtUnixMs);
  const afterMs = decidedAtUnixMs - run.move.startAt.getTime();
  return `${expected} after ${afterMs} ms, ${exposure}`;
};
