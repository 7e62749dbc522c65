import { originOf } from './folder-merger.js';
import { compareOrigins, formatOrigin, type ConfigProblem } from './problems.js';
import type { TypedSection } from './section-validator.js';

type Account = TypedSection<'account'>;

const keysOriginOf = ({ merged }: Account) => originOf(merged, 'keys');

/**
 * Reports accounts that hold a key of another account, since a request could belong to either. The
 * problem names both places but not the key, which is a secret.
 *
 * @example
 * const problems = checkAccountKeys(typedSections.account);
 */
export const checkAccountKeys = (accounts: readonly Account[]): ConfigProblem[] => {
  const holders = new Map<string, Account>();
  const problems: ConfigProblem[] = [];
  const inFileOrder = [...accounts].sort((left, right) =>
    compareOrigins(keysOriginOf(left), keysOriginOf(right)),
  );
  for (const account of inFileOrder) {
    const firstHolders = new Set<Account>();
    for (const key of account.values.keys) {
      const holder = holders.get(key) ?? account;
      holders.set(key, holder);
      if (holder !== account) firstHolders.add(holder);
    }
    const { file, line } = keysOriginOf(account);
    for (const holder of firstHolders) {
      const found = `[account ${account.name}] has a key of [account ${holder.name}]`;
      const expected = `each key in one account only; ${formatOrigin(keysOriginOf(holder))} has it already`;
      problems.push({ file, line, found, expected });
    }
  }
  return problems;
};
