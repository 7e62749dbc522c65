import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import {
  StoreOutcomeUnknownError,
  type RangeStore,
  type StoreItem,
  type StoreWrite,
  type WriteCondition,
  type WriteResult,
} from '@sequoiafield/store';
import { SeededRandom } from '@sequoiafield/tables';
import { pauseClock, type PausedClock } from '@sequoiafield/test-kit';
import { MoveOutcome, type MoveOrder } from '@sequoiafield/types';
import { MoveRecorder, type MoveRecordCodec } from './move-recorder.js';

const order: MoveOrder = { service: 's', toVersion: 'v2', durationMs: 10_000, revision: 5 };

const codec: MoveRecordCodec = {
  keyOf: (service) => `status/${service}`,
  encode: ({ toVersion, outcome }) => Buffer.from(JSON.stringify({ toVersion, outcome })),
  decode: ({ value, revision }) => {
    const fields = JSON.parse(Buffer.from(value).toString()) as {
      toVersion: string;
      outcome: MoveOutcome;
    };
    return { service: 's', revision, ...fields };
  },
};

/** Store whose next writes get no answer and take effect later, if their condition still holds. */
class LateStore implements Pick<RangeStore, 'writeIf'> {
  readonly outcomes: string[] = [];

  lateWritesMs: number[] = [];

  #item: StoreItem | undefined;

  #revision = 10;

  async writeIf(
    conditions: readonly WriteCondition[],
    writes: readonly StoreWrite[],
  ): Promise<WriteResult> {
    const delayMs = this.lateWritesMs.shift();
    if (delayMs === undefined) return this.#apply(conditions, writes);
    setTimeout(() => this.#apply(conditions, writes), delayMs);
    throw new StoreOutcomeUnknownError('the answer was lost');
  }

  #apply(conditions: readonly WriteCondition[], writes: readonly StoreWrite[]): WriteResult {
    if (conditions[0]!.revision !== (this.#item?.revision ?? 0)) {
      return { kind: 'conflict', items: this.#item ? [this.#item] : [] };
    }
    this.#revision += 1;
    this.#item = { ...writes[0]!, revision: this.#revision };
    this.outcomes.push(codec.decode(this.#item)!.outcome);
    return { kind: 'written', revision: this.#revision };
  }
}

let clock: PausedClock;

beforeEach(() => {
  clock = pauseClock();
});

afterEach(() => clock.resume());

const createRecorder = (store: LateStore, seed: number): MoveRecorder =>
  new MoveRecorder(
    order,
    {
      store: store as unknown as RangeStore,
      codec,
      random: new SeededRandom(seed),
      logger: new SilentLogger(),
    },
    undefined,
  );

const finalOutcomes = ({ outcomes }: LateStore): readonly string[] =>
  outcomes.filter((outcome) => outcome !== String(MoveOutcome.Running));

/** Lets two judges write different final outcomes with writes that take effect late. */
const checkTwoJudges = async (lateMs: number): Promise<void> => {
  const store = new LateStore();
  const judges = [createRecorder(store, 1), createRecorder(store, 2)];
  judges.forEach((judge) => judge.record(MoveOutcome.Running));
  await clock.advance(100);
  store.lateWritesMs = [lateMs, lateMs];
  const wanted = [MoveOutcome.Completed, MoveOutcome.RolledBack];
  for (let step = 0; step < 60; step++) {
    judges.forEach((judge, index) => judge.record(wanted[index]!));
    await clock.advance(100);
  }
  assert.equal(finalOutcomes(store).length, 1, store.outcomes.join(' '));
  const stored = judges.map(({ storedOutcome }) => String(storedOutcome));
  assert.deepEqual(stored, [finalOutcomes(store)[0], finalOutcomes(store)[0]]);
};

// Each guards against an outcome that is reported twice or replaced by the other around a hand-over
// between two judges, with a write that takes effect after its answer was lost.
test('two judges that both write keep the first final outcome; writes 50 ms late', () =>
  checkTwoJudges(50));

test('two judges that both write keep the first final outcome; writes 700 ms late', () =>
  checkTwoJudges(700));

test('two judges that both write keep the first final outcome; writes 3,000 ms late', () =>
  checkTwoJudges(3000));
