import { createHash } from 'node:crypto';
import type { ClientAccount } from '@sequoiafield/types';

/**
 * Returns the hash under which `ClientAccount.keyHashes` holds a key: SHA-256 of its UTF-8 bytes as
 * hexadecimal text. Keys are long random texts, so that a hash without salt cannot be reversed.
 *
 * @example
 * const account: ClientAccount = { name: 'shop', keyHashes: [hashKey('k-1')] };
 */
export const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/**
 * Finds client accounts by key. The key is hashed before the lookup, so that the time of a lookup does
 * not depend on how much of a key matches.
 *
 * @example
 * const directory = new AccountDirectory(configuration.accounts ?? []);
 * const account = directory.find('k-1');
 */
export class AccountDirectory {
  readonly #byKeyHash = new Map<string, ClientAccount>();

  /** A key that two accounts hold counts for the first of them. */
  constructor(accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      for (const keyHash of account.keyHashes) {
        if (!this.#byKeyHash.has(keyHash)) this.#byKeyHash.set(keyHash, account);
      }
    }
  }

  /** Returns the account that holds the key, or undefined. */
  find(key: string): ClientAccount | undefined {
    return this.#byKeyHash.get(hashKey(key));
  }
}
