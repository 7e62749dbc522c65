import { logEvents, type Logger } from '@sequoiafield/logger';
import type { StoreItem } from '@sequoiafield/store';
import type { HeldEntry } from './entry-merge.js';
import type { EraState } from './era-state.js';

/** Logs what a restore of the store means for the entries of a node, each entry once an era. */
export class EraLog {
  readonly #ignoredKeys = new Set<string>();

  constructor(private readonly logger: Logger) {}

  /** Logs the new era of a node that held entries of a former one. */
  logNewEra({ era, startRevision, formerRevision }: EraState): void {
    this.#ignoredKeys.clear();
    if (formerRevision === 0) return;
    this.logger.log(logEvents.storeEraChanged, { era, startRevision, formerRevision });
  }

  logKept(entries: readonly HeldEntry[], { era }: EraState): void {
    for (const { item, presentEra } of entries) {
      const { key, revision } = item;
      this.logger.log(logEvents.orderKept, { key, revision, isAbsent: presentEra !== era });
    }
  }

  logIgnored({ key, revision }: StoreItem): void {
    if (this.#ignoredKeys.has(key)) return;
    this.#ignoredKeys.add(key);
    this.logger.log(logEvents.orderIgnored, { key, revision });
  }
}
