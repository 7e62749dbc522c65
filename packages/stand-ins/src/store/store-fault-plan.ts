/** Effect of a fault rule on a request that it matches. */
export enum StoreFaultEffect {
  /** Status 503; nothing is executed. */
  Refuse = 'refuse',
  /** The connection is closed; nothing is executed. */
  Drop = 'drop',
  /** Never answered; nothing is executed. */
  Hang = 'hang',
  /** Executed, then the connection is closed without an answer. */
  LoseAnswer = 'lose-answer',
  /** Executed and answered `delayMs` later, even if the client has timed out by then. */
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
  /** Prefix of the keys that the rule matches; empty for all. */
  readonly keyPrefix: string;
  /** Delay of the effect `Delay`. */
  readonly delayMs: number;
  /** Number of requests that the rule still matches; undefined for no limit. */
  remaining?: number | undefined;
}

/** Ordered fault rules; the first that matches a request applies. */
export class StoreFaultPlan {
  #rules: StoreFaultRule[] = [];

  replace(rules: readonly StoreFaultRule[]): void {
    this.#rules = rules.map((rule) => ({ ...rule }));
  }

  /** Returns the first rule that matches a request and decrements its `remaining` count. */
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
