import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseVerdict } from '@sequoiafield/config';
import { MoveVerdict, type SeedRecord, type VerdictRecord } from '@sequoiafield/types';
import fc from 'fast-check';
import { ConfigRepository, StoreFault, MemoryStore, storeKeys, verdictRank } from './index.js';

const verdictOf = (verdict: MoveVerdict, nodeId: string): VerdictRecord => ({
  moveId: 'lager-v2',
  service: 'lager',
  verdict,
  reason: `seen by ${nodeId}`,
  decidedAtUnixMs: 1,
  nodeId,
});

const seedsOf = (id: string): SeedRecord => ({
  dataCentre: 'sto-1',
  refreshedAtUnixMs: 1,
  seeds: [{ id, address: '10.0.0.1', gossipPort: 7001 }],
});

test('a verdict is never replaced by one of a lower rank under lost messages and races between nodes', async () => {
  // Guards against a bad version that receives traffic again after it was rolled back.
  const fault = fc.oneof(
    { weight: 12, arbitrary: fc.constant(undefined) },
    { weight: 1, arbitrary: fc.constantFrom(...Object.values(StoreFault)) },
  );
  const verdict = fc.constantFrom(MoveVerdict.Done, MoveVerdict.RolledBack);
  const property = fc.asyncProperty(
    fc.infiniteStream(fault),
    fc.array(verdict, { minLength: 2, maxLength: 8 }),
    async (faults, verdicts) => {
      const store = new MemoryStore(() => faults.next().value);
      const results = await Promise.allSettled(
        verdicts.map((wanted, index) =>
          new ConfigRepository(store).writeVerdict(verdictOf(wanted, `n${index}`)),
        ),
      );
      store.finishLateWrites();
      const written = store.written.get(storeKeys.verdict('lager-v2')) ?? [];
      const ranks = written.map((value) => verdictRank(parseVerdict(value).verdict));
      ranks.slice(1).forEach((rank, index) => assert.ok(rank > (ranks[index] ?? 0)));
      results.forEach((result, index) => {
        if (result.status === 'rejected') return;
        const wanted = verdictRank(verdicts[index] as MoveVerdict);
        assert.ok(verdictRank(result.value.verdict) >= wanted);
        assert.ok(ranks.includes(verdictRank(result.value.verdict)));
      });
    },
  );
  await fc.assert(property, { numRuns: 300, seed: 20_261_204 });
});

test('a verdict of the same or a higher rank is kept, at the cost of one read', async () => {
  // Guards against every node of a fleet writing the same verdict.
  const store = new MemoryStore();
  const repository = new ConfigRepository(store);
  await repository.writeVerdict(verdictOf(MoveVerdict.RolledBack, 'n1'));
  const kept = await repository.writeVerdict(verdictOf(MoveVerdict.Done, 'n2'));
  assert.equal(kept.nodeId, 'n1');
  assert.equal((await repository.readVerdict('lager-v2'))?.verdict, MoveVerdict.RolledBack);
  assert.equal(store.calls.length, 4);
});

test('only one of two nodes that refresh the seeds writes them', async () => {
  // Guards against seeds being overwritten by a node with an older view of the members.
  const repository = new ConfigRepository(new MemoryStore());
  assert.equal(await repository.readSeeds('sto-1'), undefined);
  assert.equal(await repository.writeSeeds(seedsOf('n1'), undefined), true);
  assert.equal(await repository.writeSeeds(seedsOf('n2'), undefined), false);
  const read = await repository.readSeeds('sto-1');
  assert.deepEqual(read?.record, seedsOf('n1'));
  assert.equal(await repository.writeSeeds(seedsOf('n3'), read?.revision), true);
});
