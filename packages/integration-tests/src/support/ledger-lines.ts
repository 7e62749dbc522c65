import { readFileSync } from 'node:fs';
import { LedgerEvent, type LedgerLine, type LocalMesh } from '@sequoiafield/stand-ins';

/** One line of a ledger with the backend server that wrote it. */
export interface ServerLedgerLine extends LedgerLine {
  readonly serverId: string;
  readonly backendVersion: string;
}

/**
 * Reads the ledger files of all backend servers of a service, killed ones included.
 *
 * @example
 * readLedgerLines(mesh, 'settlement').filter(({ event }) => event === LedgerEvent.Start).length;
 */
export const readLedgerLines = (mesh: LocalMesh, service: string): readonly ServerLedgerLine[] =>
  [...mesh.instances.values()]
    .filter(({ plan }) => plan.service === service)
    .flatMap(({ plan, ledgerFile }) =>
      readFileSync(ledgerFile, 'utf8')
        .split('\n')
        // The last line may be incomplete while it is being written.
        .filter((text) => text.endsWith('}'))
        .map((text) => ({
          ...(JSON.parse(text) as LedgerLine),
          serverId: plan.id,
          backendVersion: plan.backendVersion,
        })),
    );

/**
 * Reads the started calls of a run, in the order of their start.
 *
 * @example
 * readStartedCalls(mesh, 'settlement', 'run-1').at(-1)?.serverId;
 */
export const readStartedCalls = (
  mesh: LocalMesh,
  service: string,
  runId: string,
): readonly ServerLedgerLine[] =>
  readLedgerLines(mesh, service)
    .filter(({ event, requestId }) => event === LedgerEvent.Start && requestId.startsWith(runId))
    .sort((left, right) => left.atUnixMs - right.atUnixMs);
