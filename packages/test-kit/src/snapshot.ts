import assert from 'node:assert/strict';
import { basename, dirname, join } from 'node:path';
import { SnapshotState } from 'jest-snapshot';

const snapshotStates = new Map<string, SnapshotState>();

const getSnapshotState = (testFile: string): SnapshotState => {
  const existing = snapshotStates.get(testFile);
  if (existing) return existing;
  const state = new SnapshotState(
    join(dirname(testFile), '__snapshots__', `${basename(testFile)}.snap`),
    {
      updateSnapshot: process.env.UPDATE_SNAPSHOTS ? 'all' : 'none',
      expand: false,
      snapshotFormat: { escapeString: false, printBasicPrototype: false },
      rootDir: dirname(testFile),
      prettierPath: null,
    },
  );
  snapshotStates.set(testFile, state);
  return state;
};

/**
 * Compares a value with the checked-in snapshot of a test file; `UPDATE_SNAPSHOTS=1` writes it.
 *
 * @example
 * matchSnapshot(import.meta.filename, 'merged folder', describeConfiguration(configuration));
 */
export const matchSnapshot = (testFile: string, name: string, received: unknown): void => {
  const state = getSnapshotState(testFile);
  const result = state.match({ testName: name, received, isInline: false });
  if (process.env.UPDATE_SNAPSHOTS) state.save();
  assert.ok(
    result.pass,
    `Snapshot "${name}" differs.\nExpected: ${result.expected ?? '(no snapshot checked in)'}\nReceived: ${result.actual}`,
  );
};
