/** What happens to a request that a fault rule matches. */
export enum StoreFaultEffect {
  /** Status 503; nothing is executed. */
  Refuse = 'refuse',
  /** The connection is closed; nothing is executed. */
  Drop = 'drop',
  /** Never answered; nothing is executed. */
  Hang = 'hang',
  /** Executed, then the connection is closed instead of an answer. */
  LoseAnswer = 'lose-answer',
  /** Executed and answered `delayMs` later, even if the client has given up by then. */
  Delay = 'delay',
}

/** Kind of request that a rule matches. */
export enum StoreOperation {
  Any = 'any',
  Read = 'read',
  Write = 'write',
}

/** Rule that makes matching requests fail. */
export interface StoreFaultRule {
  readonly effect: StoreFaultEffect;
  readonly operation: StoreOperation;
  /** Beginning of the keys that the rule matches; empty for all. */
  readonly keyPrefix: string;
  /** Time of `Delay`. */
  readonly delayMs: number;
  /** Requests that it still matches; undefined for no limit. */
  remaining?: number | undefined;
}

/** Ordered fault rules; the first that matches a request decides. */
export class StoreFaultPlan {
  #rules: StoreFaultRule[] = [];

  replace(rules: readonly StoreFaultRule[]): void {
    this.#rules = rules.map((rule) => ({ ...rule }));
  }

  /** Finds the rule of a request and counts it as used. */
  consumeRule(operation: StoreOperation, key: string): StoreFaultRule | undefined {
    const rule = this.#rules.find(
      (candidate) =>
        (candidate.operation === StoreOperation.Any || candidate.operation === operation) &&
        key.startsWith(candidate.keyPrefix) &&
        candidate.remaining !== 0,
    );
    if (rule?.remaining !== undefined) rule.remaining -= 1;
    return rule;
  }
}
