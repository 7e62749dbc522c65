import {
  MoveVerdict,
  type Configuration,
  type Manifest,
  type MoveIntent,
  type VerdictRecord,
} from '@sequoiafield/types';
import type { ConfigReader } from './config-reader.js';
import { MoveDecidedError } from './errors.js';
import { mapInBatches } from './map-in-batches.js';

const isSameVersionChange = (left: MoveIntent, right: MoveIntent): boolean =>
  left.service === right.service &&
  left.fromVersion === right.fromVersion &&
  left.toVersion === right.toVersion;

/**
 * Rejects a move that is new, or goes between other versions than before, if its id already has a
 * verdict. Verdicts are stored by id permanently: under "done" an untested version would receive all
 * traffic at once, and under "taken back" the move would never start. One read per changed service
 * with moves, and one per such move.
 *
 * @example
 * await rejectDecidedMoves(reader, acceptedManifest, changedSections, configuration);
 * @throws MoveDecidedError that names every such move and its verdict.
 */
export const rejectDecidedMoves = async (
  reader: ConfigReader,
  accepted: Manifest,
  changedSections: readonly string[],
  configuration: Configuration,
): Promise<void> => {
  const wanted = changedSections.flatMap((name) => configuration.services.get(name)?.moves ?? []);
  if (wanted.length === 0) return;
  const services = [...new Set(wanted.map(({ service }) => service))];
  const before = await reader.readSections(accepted, services);
  const acceptedMoves = [...before.services.values()].flatMap(({ moves }) => moves);
  const newMoves = wanted.filter(
    (move) =>
      !acceptedMoves.some((other) => other.id === move.id && isSameVersionChange(other, move)),
  );
  const verdicts = await mapInBatches(newMoves, ({ id }) => reader.readVerdict(id));
  const decided = verdicts.filter(
    (record): record is VerdictRecord =>
      record !== undefined && record.verdict !== MoveVerdict.Undecided,
  );
  if (decided.length === 0) return;
  const names = decided.map(({ moveId, verdict }) => `move ${moveId} (${verdict})`);
  throw new MoveDecidedError(
    `Nothing was accepted; these ids have a verdict already: ${names.join(', ')}; ` +
      'expected a new id for another move',
  );
};
