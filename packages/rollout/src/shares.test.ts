import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { fakeMove } from './fakes/fake-configuration.js';
import { plannedPercent, sharePercent, stageCapPercent, stageCount } from './shares.js';

const startAtUnixMs = Date.UTC(2026, 0, 1);
const intent = fakeMove(startAtUnixMs, { unprovenCapPercent: 4 });

test('the share follows from time and proven stage', () => {
  // Guards against a plan that reaches its shares late and a share above the cap for unproven versions.
  const rows = [-1, 0, 6, 54, 270, 540, 600, 900].map((second) => {
    const shares = Array.from({ length: stageCount + 1 }, (_, stage) =>
      sharePercent(intent, startAtUnixMs + second * 1000, stage)
        .toFixed(1)
        .padStart(5),
    );
    return `${String(second).padStart(4)} s ${shares.join(' ')}`;
  });
  matchSnapshot(import.meta.filename, 'percent by second and proven stage', rows.join('\n'));
});

test('the share is monotone in time and stage and stays within plan and cap', () => {
  // Guards against a share that decreases when a stage is proven.
  fc.assert(
    fc.property(
      fc.integer({ min: -10_000, max: 700_000 }),
      fc.integer({ min: 0, max: 5000 }),
      fc.integer({ min: 0, max: stageCount }),
      fc.double({ min: 0.1, max: 50, noNaN: true }),
      (atMs, laterMs, stage, unprovenCapPercent) => {
        const move = { ...intent, unprovenCapPercent };
        const nowUnixMs = startAtUnixMs + atMs;
        const share = sharePercent(move, nowUnixMs, stage);
        assert.ok(share <= sharePercent(move, nowUnixMs + laterMs, stage));
        assert.ok(share <= plannedPercent(move, nowUnixMs));
        assert.ok(share <= stageCapPercent(move, stage));
        if (stage < 3) assert.ok(share <= unprovenCapPercent);
      },
    ),
    { seed: 11, numRuns: 500 },
  );
});
