import {
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

/** Outcomes as JSON. */
export const jsonRecordCodec: MoveRecordCodec = {
  keyOf: (service) => `status/${service}`,
  encode: (record) => Buffer.from(JSON.stringify(record)),
  decode: ({ value, revision }) => ({
    ...JSON.parse(Buffer.from(value).toString('utf8')),
    revision,
  }),
};

/** Keeps one key under conditions; a test makes it fail. */
export class FakeRecordStore implements RangeStore {
  item: StoreItem | undefined;

  readonly outcomes: string[] = [];

  isDown = false;

  #revision = 20;

  readRange(): Promise<StoreRange> {
    return Promise.reject(new StoreNotWrittenError('not used'));
  }

  watchRange(): Promise<StoreChanges> {
    return Promise.reject(new StoreNotWrittenError('not used'));
  }

  async writeIf(
    [condition]: readonly WriteCondition[],
    [write]: readonly StoreWrite[],
  ): Promise<WriteResult> {
    if (this.isDown) throw new StoreNotWrittenError('down');
    if ((this.item?.revision ?? 0) !== condition?.revision) {
      return { kind: 'conflict', items: this.item ? [this.item] : [] };
    }
    this.#revision += 1;
    this.item = { key: write!.key, value: write!.value, revision: this.#revision };
    this.outcomes.push(jsonRecordCodec.decode(this.item)!.outcome);
    return { kind: 'written', revision: this.#revision };
  }
}
