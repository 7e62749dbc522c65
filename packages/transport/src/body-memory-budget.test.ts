import assert from 'node:assert/strict';
import { setImmediate as turn } from 'node:timers/promises';
import { test } from 'node:test';
import { pauseClock } from '@sequoiafield/test-kit';
import { BodyMemoryBudget } from './body-memory-budget.js';

test('a body waits for memory in its turn, and is refused after the longest wait', async () => {
  // Guards against memory beyond the bound, and against a large body that small ones overtake for ever.
  const budget = new BodyMemoryBudget(100);
  const log: string[] = [];
  const take = (name: string, bytes: number): Promise<void> =>
    budget.take(bytes, 1000).then((isTaken) => {
      log.push(`${name} ${isTaken}`);
    });
  const taken = [take('first', 60), take('large', 80), take('small', 10)];
  budget.onceFreed(() => log.push('reader resumed'));
  await turn();
  assert.deepEqual([log, budget.heldBytes], [['first true'], 60]);
  budget.release(60);
  await Promise.all(taken);
  assert.deepEqual(log, ['first true', 'reader resumed', 'large true', 'small true']);
  assert.deepEqual([budget.heldBytes, budget.peakBytes, budget.tryTake(11)], [90, 90, false]);
});

test('a wait that ends frees the way for those behind it', async () => {
  // Guards against readers that stay paused behind one that was refused.
  const clock = pauseClock();
  const budget = new BodyMemoryBudget(100);
  budget.add(50);
  const large = budget.take(80, 500);
  const small = budget.take(10, 900);
  await clock.advance(600);
  assert.deepEqual([await large, await small, budget.refusals], [false, true, 1]);
  budget.release(60);
  assert.equal(budget.tryTake(500), true, 'a body larger than the bound is held alone');
  assert.equal(budget.isFull, true);
  clock.resume();
});
