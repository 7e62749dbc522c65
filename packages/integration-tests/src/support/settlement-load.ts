import type { LoadOutcome, LocalMesh } from '@sequoiafield/stand-ins';
import type { ConfigurationFiles } from '../configurations.js';

/** Returns the configuration with another deadline of settlements, as a change to apply. */
export const withSettlementDeadline = (
  files: ConfigurationFiles,
  deadlineMs: number,
): ConfigurationFiles => ({
  ...files,
  '95-deadline.ini': `[route settlement-post]\ndeadline_ms = ${deadlineMs}\n`,
});

/** Load of half lookups and half settlements at a constant rate. */
export interface SettlementLoad {
  readonly runId: string;
  readonly ratePerS: number;
  readonly durationS: number;
  /** Ids of the instances whose nodes receive the calls. */
  readonly targets: readonly string[];
}

/** Starts a load; the returned function waits for its end and returns the result. */
export const startSettlementLoad = (
  mesh: LocalMesh,
  { runId, ratePerS, durationS, targets }: SettlementLoad,
): (() => Promise<LoadOutcome>) =>
  mesh.startLoad(
    [
      ...['--lookup', 'GET /tabs/{n}', '--request', 'POST /settle/{n}', '--lookupPercent', '50'],
      ...['--rate', String(ratePerS), '--durationS', String(durationS), '--deadlineMs', '3000'],
      ...['--runId', runId],
    ],
    targets,
  );
