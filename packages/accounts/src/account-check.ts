import {
  KeyVerdict,
  type ClientAccount,
  type KeyCheck,
  type KeyChecker,
  type KeyedRoute,
} from '@sequoiafield/types';
import { AccountDirectory } from './account-directory.js';

/** Part of a configuration that names the accounts. */
export interface AccountsConfiguration {
  readonly accounts?: readonly ClientAccount[];
}

/** Dependencies of an `AccountCheck`. */
export interface AccountCheckOptions {
  /** Returns the configuration in force, or undefined before the first. */
  readonly configuration: () => AccountsConfiguration | undefined;
  /** Whether this node knows that there is a newer configuration than the one in force. */
  readonly isOutdated: () => boolean;
  /** Called with each refused request: its route and whether a key was sent. */
  readonly onRefused?: (route: string, hasKey: boolean) => void;
}

const accepted: KeyCheck = { verdict: KeyVerdict.Accepted };
const undecided: KeyCheck = { verdict: KeyVerdict.Undecided };

/**
 * Checks each request's key against the configuration in force, so that a key that was added or
 * withdrawn counts from the next request on, also on open connections. A configuration without accounts
 * needs no keys.
 *
 * @example
 * const configuration = () => orders.view.current().configuration;
 * const check = new AccountCheck({ configuration, isOutdated: () => orders.isBehind() });
 * const { verdict, account } = check.check(key, route);
 */
export class AccountCheck implements KeyChecker {
  #compiledAccounts: readonly ClientAccount[] = [];

  #directory = new AccountDirectory([]);

  constructor(private readonly options: AccountCheckOptions) {}

  check(key: string | undefined, route: KeyedRoute): KeyCheck {
    const configuration = this.options.configuration();
    if (!configuration) return undecided;
    const { accounts = [] } = configuration;
    if (accounts.length === 0) return accepted;
    const account = key === undefined ? undefined : this.#find(key, accounts);
    if (account) return { verdict: KeyVerdict.Accepted, account };
    if (route.isPublic) return accepted;
    // The newer configuration may hold the key or open the route.
    if (this.options.isOutdated()) return undecided;
    this.options.onRefused?.(route.name, key !== undefined);
    return { verdict: key === undefined ? KeyVerdict.Missing : KeyVerdict.Unknown };
  }

  #find(key: string, accounts: readonly ClientAccount[]): ClientAccount | undefined {
    if (accounts !== this.#compiledAccounts) {
      this.#compiledAccounts = accounts;
      this.#directory = new AccountDirectory(accounts);
    }
    return this.#directory.find(key);
  }
}
