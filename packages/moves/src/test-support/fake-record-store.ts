import {
  eraOf,
  revisionInEra,
  StoreNotWrittenError,
  type RangeStore,
  type StoreChanges,
  type StoreItem,
  type StoreRange,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from '@sequoiafield/store';
import type { MoveRecordCodec } from '../index.js';

/** Encodes outcomes as JSON. */
export const jsonRecordCodec: MoveRecordCodec = {
  keyOf: (service) => `status/${service}`,
  encode: (record) => Buffer.from(JSON.stringify(record)),
  decode: ({ value, revision }) => ({
    ...JSON.parse(Buffer.from(value).toString('utf8')),
    revision,
  }),
};

/** Fake store of one key with conditional writes, which fail while `isDown` is set. */
export class FakeRecordStore implements RangeStore {
  item: StoreItem | undefined;

  readonly outcomes: string[] = [];

  isDown = false;

  #revision = 20;

  /** Restores the store from a copy with this item, whose revision is the one of the former era. */
  restore(copied: StoreItem | undefined): void {
    const era = eraOf(this.#revision) + 1;
    this.item = copied && { ...copied, revision: revisionInEra(era, copied.revision) };
    this.#revision = revisionInEra(era, copied?.revision ?? 19);
  }

  readRange(): Promise<StoreRange> {
    return Promise.reject(new StoreNotWrittenError('FakeRecordStore does not support readRange'));
  }

  watchRange(): Promise<StoreChanges> {
    return Promise.reject(new StoreNotWrittenError('FakeRecordStore does not support watchRange'));
  }

  async writeIf(
    [condition]: readonly WriteCondition[],
    [write]: readonly StoreWrite[],
  ): Promise<WriteResult> {
    if (this.isDown) throw new StoreNotWrittenError('FakeRecordStore is set to be down');
    const isFormer =
      condition!.revision !== 0 && eraOf(condition!.revision) < eraOf(this.#revision);
    if (isFormer) return { kind: 'conflict', items: [] };
    if ((this.item?.revision ?? 0) !== condition?.revision) {
      return { kind: 'conflict', items: this.item ? [this.item] : [] };
    }
    this.#revision += 1;
    this.item = { key: write!.key, value: write!.value, revision: this.#revision };
    this.outcomes.push(jsonRecordCodec.decode(this.item)!.outcome);
    return { kind: 'written', revision: this.#revision };
  }
}
