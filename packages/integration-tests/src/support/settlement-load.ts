import type { LoadOutcome, LocalMesh } from '@sequoiafield/stand-ins';
import type { ConfigurationFiles } from '../configurations.js';

/** The same configuration with another deadline of settlements, which every node can be seen to use. */
export const withSettlementDeadline = (
  files: ConfigurationFiles,
  deadlineMs: number,
): ConfigurationFiles => ({
  ...files,
  '95-deadline.ini': `[route settlement-post]\ndeadline_ms = ${deadlineMs}\n`,
});

/** Half lookups, half settlements at a steady rate. */
export interface SettlementLoad {
  readonly runId: string;
  readonly ratePerS: number;
  readonly durationS: number;
  /** Ids of the instances that get the calls. */
  readonly targets: readonly string[];
}

/** Starts a load; the returned function waits for its end. */
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
