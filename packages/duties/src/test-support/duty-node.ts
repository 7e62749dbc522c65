import { SilentLogger } from '@sequoiafield/logger';
import { StoreNotWrittenError, type LeaseStore, type MemoryLeaseStore } from '@sequoiafield/store';
import { SeededRandom } from '@sequoiafield/tables';
import type { MemberRow, MemberView } from '@sequoiafield/types';
import { SingleHolderDuty } from '../index.js';

export const leaseMs = 3000;
export const recordKey = 'duty/work';

/** One node that wants the duty. */
export class DutyNode {
  /** Whether the process runs; a killed or stopped one does nothing. */
  isRunning = true;

  /** Whether this node alone cannot reach the store. */
  isCutOff = false;

  readonly duty: SingleHolderDuty;

  constructor(
    readonly id: string,
    rows: readonly MemberRow[],
    store: MemoryLeaseStore,
    incarnation: number,
  ) {
    const members = {
      selfId: id,
      all: () => rows,
      get: (other: string) => rows.find((row) => row.id === other),
    } as unknown as MemberView;
    this.duty = new SingleHolderDuty({
      ...{ name: 'work', key: recordKey, leaseMs, incarnation, members },
      store: this.#ownStore(store),
      random: new SeededRandom(incarnation),
      logger: new SilentLogger(),
    });
  }

  #ownStore(store: MemoryLeaseStore): LeaseStore {
    return new Proxy(store, {
      get: (target, name) => {
        const value: unknown = Reflect.get(target, name, target);
        if (typeof value !== 'function') return value;
        return (...parameters: unknown[]) =>
          this.isCutOff
            ? Promise.reject(new StoreNotWrittenError('this node is cut off'))
            : (value.apply(target, parameters) as unknown);
      },
    });
  }
}
