import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { DistributionError } from '@sequoiafield/errors';
import type { StoreItem } from '@sequoiafield/store';
import { EntryCodec, type WireEntry } from './entry-codec.js';
import { applyEntryPatch, createEntryPatch } from './entry-patch.js';

const routesCount = 600;

/** Text of a configuration of the users' size, in which one route has another timeout. */
const configurationText = (version: number, changedRoute = -1): string =>
  JSON.stringify({
    version: version.toString(16).padStart(8, '0'),
    rules: Array.from({ length: routesCount }, (_, index) => ({
      name: `r-${index}`,
      kind: 'idempotent',
      match: { prefix: `/path-${(index * 7919) % 10_007}/` },
      action: { service: `service-${index % 3}`, timeout_s: index === changedRoute ? 7.5 : 0.5 },
    })),
  });

const itemOf = (text: string, revision: number): StoreItem => ({
  key: 'op/c',
  value: Buffer.from(text),
  revision,
});

const bytesOf = ({ value, deflated, patch }: WireEntry): number =>
  (value?.length ?? 0) +
  (deflated?.length ?? 0) +
  (patch?.parts ?? []).reduce(
    (sum, part) => sum + (part instanceof Uint8Array ? part.length : 8),
    0,
  );

test('a change of one route of 600 crosses a link in a few hundred bytes', () => {
  // Guards against whole configurations that each node gets for each change of a storm.
  const known = itemOf(configurationText(7), 10);
  const changed = itemOf(configurationText(8, 300), 11);
  const held = (key: string, revision: number): Uint8Array | undefined =>
    key === known.key && revision === known.revision ? known.value : undefined;
  const codec = new EntryCodec();
  const entry = codec.encode(changed, known.revision, held);
  assert.ok(bytesOf(entry) < 500, `${bytesOf(entry)} of ${changed.value.length} bytes`);
  assert.deepEqual(codec.decode(entry, held), { ...changed });
  assert.equal(
    codec.decode(entry, () => undefined),
    undefined,
    'without the base',
  );
});

test('a node that holds nothing gets a large entry compressed', () => {
  // Guards against megabytes per node when a whole fleet restarts at once.
  const item = itemOf(configurationText(7), 10);
  const codec = new EntryCodec();
  const entry = codec.encode(item, 0, () => undefined);
  assert.ok(bytesOf(entry) < item.value.length / 4, `${bytesOf(entry)} of ${item.value.length}`);
  const decoded = codec.decode(entry, () => undefined);
  assert.equal(Buffer.from(decoded!.value).toString(), configurationText(7));
});

test('a patched value is the one that the patch was made of, or the patch fails', () => {
  // Guards against a configuration that differs from the accepted one after a patch.
  const bytes = fc.uint8Array({ maxLength: 400 });
  const edit = fc.record({ at: fc.nat(3000), removed: fc.nat(200), added: bytes });
  fc.assert(
    fc.property(
      fc.uint8Array({ maxLength: 3000 }),
      fc.array(edit, { maxLength: 4 }),
      (base, edits) => {
        let target = Buffer.from(base);
        for (const { at, removed, added } of edits) {
          const start = Math.min(at, target.length);
          target = Buffer.concat([
            target.subarray(0, start),
            added,
            target.subarray(Math.min(target.length, start + removed)),
          ]);
        }
        const patch = createEntryPatch(base, target);
        assert.deepEqual(Buffer.from(applyEntryPatch(base, patch)), target);
        const other = Buffer.concat([Buffer.from([1, 2, 3]), base]);
        try {
          assert.deepEqual(Buffer.from(applyEntryPatch(other, patch)), target);
        } catch (error) {
          assert.ok(error instanceof DistributionError || error instanceof assert.AssertionError);
          assert.ok(error instanceof DistributionError, 'a wrong base must not give another value');
        }
      },
    ),
    { seed: 5, numRuns: 300 },
  );
});

test('a malformed entry of a peer is refused', () => {
  // Guards against entries of a peer that end the process or enter the table half decoded.
  const codec = new EntryCodec();
  const malformed: readonly unknown[] = [
    { key: 'op/c', revision: 3 },
    { key: 7, revision: 3, value: Buffer.from('x') },
    { key: 'op/c', revision: 1.5, value: Buffer.from('x') },
    { key: 'op/c', revision: 3, deflated: Buffer.from('no deflated bytes') },
    { key: 'op/c', revision: 3, baseRevision: 2, patch: { parts: [[-5, 1e9]], lengthBytes: 4 } },
    {
      key: 'op/c',
      revision: 3,
      baseRevision: 2,
      patch: { parts: [null], lengthBytes: 4, hash: 0 },
    },
  ];
  for (const entry of malformed) {
    assert.throws(() => codec.decode(entry as WireEntry, () => Buffer.from('base')));
  }
});
