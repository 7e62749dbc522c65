import { ExitStatus } from '../exit-status.js';
import {
  addAdminOptions,
  addStoreOptions,
  requireAdminUrl,
  withStore,
  type AdminArguments,
  type StoreArguments,
} from '../options.js';
import type { OperatorCommand } from '../command-line.js';
import { waitForFleet } from '../wait-for-fleet.js';

interface WaitCommandArguments extends StoreArguments, AdminArguments {
  readonly 'config-version'?: number | undefined;
  readonly move?: readonly string[] | undefined;
  readonly 'timeout-s'?: number | undefined;
  readonly json: boolean;
}

/** `wait`: waits until a version is active on every node, or until moves are decided. */
export const waitCommand: OperatorCommand<WaitCommandArguments> = {
  command: 'wait',
  describe: 'Wait until a version is in force on every node or moves are done',
  builder: (yargs) =>
    addAdminOptions(addStoreOptions(yargs))
      .option('config-version', {
        type: 'number',
        describe: 'Version to wait for (else the accepted one, unless --move is given)',
      })
      .option('move', { type: 'string', array: true, describe: 'Move to wait for; repeatable' })
      .option('timeout-s', { type: 'number', describe: 'Longest wait in seconds' })
      .option('json', { type: 'boolean', default: false, describe: 'Print one JSON object' }),
  run: async (args, context) => {
    requireAdminUrl(context, args);
    const moves = (args.move ?? []).map((id) => ({ id }));
    let configVersion = args['config-version'];
    if (configVersion === undefined && moves.length === 0) {
      const head = await withStore(context, args, (repository) => repository.readHead());
      if (!head) {
        const line = 'Nothing is accepted yet; there is no version to wait for';
        return { status: ExitStatus.Failed, data: { error: line }, lines: [line] };
      }
      configVersion = head.record.configVersion;
    }
    return waitForFleet(context, args, { configVersion, moves });
  },
};
