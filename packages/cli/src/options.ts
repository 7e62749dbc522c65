import { loadStoreSettings } from '@sequoiafield/config';
import { ConfigRepository } from '@sequoiafield/store';
import type { Argv } from 'yargs';
import { AdminClient } from './admin-client.js';
import type { CommandContext } from './command-context.js';
import { UsageError } from './exit-status.js';

/** Options of commands that use the store. */
export interface StoreArguments {
  readonly store?: string | undefined;
  readonly settings?: string | undefined;
}

/** Options of commands that query a node. */
export interface AdminArguments {
  readonly admin?: string | undefined;
  readonly token?: string | undefined;
}

/**
 * Adds `--store` and `--settings`.
 *
 * @example
 * builder: (yargs) => addStoreOptions(yargs),
 */
export const addStoreOptions = <T>(yargs: Argv<T>) =>
  yargs
    .option('store', {
      type: 'string',
      describe: 'URL of the store (else SEQUOIAFIELD_STORE_URL or --settings)',
    })
    .option('settings', { type: 'string', describe: 'INI file with a section [store]' });

/**
 * Adds `--admin` and `--token`.
 *
 * @example
 * builder: (yargs) => addAdminOptions(yargs),
 */
export const addAdminOptions = <T>(yargs: Argv<T>) =>
  yargs
    .option('admin', {
      type: 'string',
      describe: 'Admin URL of any node (else SEQUOIAFIELD_ADMIN_URL)',
    })
    .option('token', {
      type: 'string',
      describe: 'Admin token of the node (else SEQUOIAFIELD_NODE_ADMIN_TOKEN)',
    });

/**
 * Runs a function with the repository in the store and closes the connection afterwards.
 *
 * @example
 * const head = await withStore(context, args, (repository) => repository.readHead());
 * @throws UsageError if no source gives a store, ConfigRejectedError if its URL is invalid.
 */
export const withStore = async <T>(
  context: CommandContext,
  args: StoreArguments,
  run: (repository: ConfigRepository) => Promise<T>,
): Promise<T> => {
  const settings = await loadStoreSettings({
    file: args.settings,
    env: context.env,
    overrides: { 'store.url': args.store },
  });
  if (!settings) {
    throw new UsageError('No store URL is given; use --store URL or set SEQUOIAFIELD_STORE_URL');
  }
  const connection = context.connectStore(settings);
  try {
    return await run(new ConfigRepository(connection.store));
  } finally {
    await connection.close();
  }
};

/**
 * Whether a flag, the environment or a settings file gives the store.
 *
 * @example
 * if (hasStore(context, args)) await withStore(context, args, read);
 */
export const hasStore = (context: CommandContext, args: StoreArguments): boolean =>
  (args.store ?? args.settings ?? context.env.SEQUOIAFIELD_STORE_URL) !== undefined;

/** Returns the admin URL from the flag or the environment, if any. */
const findAdminUrl = (context: CommandContext, args: AdminArguments): string | undefined =>
  args.admin ?? context.env.SEQUOIAFIELD_ADMIN_URL;

/**
 * Whether the flag or the environment gives the admin URL of a node.
 *
 * @example
 * if (hasAdmin(context, args)) await withAdmin(context, args, query);
 */
export const hasAdmin = (context: CommandContext, args: AdminArguments): boolean =>
  findAdminUrl(context, args) !== undefined;

/**
 * Returns the admin URL from the flag or the environment.
 *
 * @example
 * const url = requireAdminUrl(context, args);
 * @throws UsageError if none is given or it is not a URL.
 */
export const requireAdminUrl = (context: CommandContext, args: AdminArguments): string => {
  const url = findAdminUrl(context, args);
  if (url === undefined) {
    throw new UsageError('No admin URL is given; use --admin URL or set SEQUOIAFIELD_ADMIN_URL');
  }
  if (URL.canParse(url)) return url;
  throw new UsageError(`Admin URL "${url}" is not a URL such as http://127.0.0.1:7003`);
};

/**
 * Runs a function with the admin interface of one node and closes the connection afterwards.
 *
 * @example
 * const moves = await withAdmin(context, args, (admin) => admin.fetchMoves());
 * @throws UsageError if no source gives an admin URL or it is not a URL.
 */
export const withAdmin = async <T>(
  context: CommandContext,
  args: AdminArguments,
  run: (admin: AdminClient) => Promise<T>,
): Promise<T> => {
  const token = args.token ?? context.env.SEQUOIAFIELD_NODE_ADMIN_TOKEN ?? '';
  const admin = new AdminClient(requireAdminUrl(context, args), token);
  try {
    return await run(admin);
  } finally {
    await admin.close();
  }
};
