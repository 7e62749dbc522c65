import type { ClientAccount } from './mesh.js';

/** What a node knows about the key of a request. */
export enum KeyVerdict {
  /** The request may run: its key is known, or it needs none. */
  Accepted = 'accepted',
  /** No key was sent although the route needs one. */
  Missing = 'missing',
  /** The configuration in force does not hold the key. */
  Unknown = 'unknown',
  /** The configuration of this node is missing or outdated, so that the key may be a valid one. */
  Undecided = 'undecided',
}

/** Result of the check of a request's key. */
export interface KeyCheck {
  readonly verdict: KeyVerdict;
  /** Account that holds the key; left out if no known key was sent. */
  readonly account?: ClientAccount;
}

/** Route fields that decide whether a request needs a key. */
export interface KeyedRoute {
  readonly name: string;
  /** Whether requests need no key; they need one if left out. */
  readonly isPublic?: boolean;
}

/** Checks the keys of requests when they arrive. */
export interface KeyChecker {
  /** `key` is undefined if the request has none. */
  check(key: string | undefined, route: KeyedRoute): KeyCheck;
}
