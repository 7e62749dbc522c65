import assert from 'node:assert/strict';
import { MemoryLeaseStore } from '@sequoiafield/store';
import { sampleMember, type PausedClock } from '@sequoiafield/test-kit';
import { MemberState, type MemberRow } from '@sequoiafield/types';
import { DutyNode, leaseMs, recordKey } from './duty-node.js';

const stepMs = 100;

/**
 * Nodes that want one duty, on the paused clock. Each step checks that no two nodes hold it, that tokens
 * grow, and that it never passes A, B, A within the lease.
 */
export class DutyFleet {
  readonly store = new MemoryLeaseStore();

  readonly nodes: DutyNode[] = [];

  /** Holdings that were seen: node, token and time at which it was last seen. */
  readonly history: { readonly id: string; readonly token: number; lastAtMs: number }[] = [];

  heldSteps = 0;

  /** Whether the store was restored, so that a holder may not know that its record is lost. */
  isRestored = false;

  readonly #rows: MemberRow[] = [];

  constructor(
    private readonly clock: PausedClock,
    count: number,
  ) {
    for (let index = 0; index < count; index++) {
      const dataCentre = `dc${index % 3}`;
      this.#rows.push(sampleMember(`n${index}`, { dataCentre, state: MemberState.Alive }));
    }
    this.#rows.forEach(({ id }) => this.startNode(id));
  }

  /** Starts a node, or a new process of a killed one. */
  startNode(id: string): DutyNode {
    const node = new DutyNode(id, this.#rows, this.store, this.nodes.length + 1);
    this.#row(id).state = MemberState.Alive;
    this.nodes.push(node);
    return node;
  }

  kill(node: DutyNode): void {
    Object.assign(node, { isRunning: false });
    this.#row(node.id).state = MemberState.Dead;
  }

  announceDraining({ id }: DutyNode): void {
    this.#row(id).state = MemberState.Draining;
  }

  holder(): DutyNode | undefined {
    return this.nodes.find(
      ({ isRunning, duty }) => isRunning && duty.holding()?.isHeldFor(0) === true,
    );
  }

  async run(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      for (const { isRunning, duty } of this.nodes) if (isRunning) duty.run();
      await this.clock.advance(stepMs, stepMs / 5);
      this.#check();
    }
  }

  async runUntilHeld(): Promise<DutyNode> {
    for (let step = 0; step < 200 && !this.holder(); step++) await this.run(stepMs);
    const holder = this.holder();
    assert.ok(holder, 'no node took the duty within 20 s');
    return holder;
  }

  #check(): void {
    const holders = this.nodes.filter(
      ({ isRunning, duty }) => isRunning && duty.holding()?.isHeldFor(0) === true,
    );
    assert.ok(holders.length <= 1, `two holders: ${holders.map(({ id }) => id).join(' ')}`);
    const [holder] = holders;
    if (!holder) return;
    if (!this.isRestored) assert.ok(this.store.peek(recordKey), 'a holder without a record');
    this.heldSteps += 1;
    const { token } = holder.duty.holding()!;
    const last = this.history.at(-1);
    if (last?.token === token) {
      last.lastAtMs = Date.now();
      return;
    }
    assert.ok(token > (last?.token ?? 0), `token ${token} after ${last?.token}`);
    const before = this.history.findLast(({ id }) => id === holder.id);
    if (before && before !== last) {
      const sinceMs = Date.now() - before.lastAtMs;
      assert.ok(sinceMs > leaseMs, `${holder.id} holds again after ${sinceMs} ms`);
    }
    this.history.push({ id: holder.id, token, lastAtMs: Date.now() });
  }

  #row(id: string): MemberRow {
    return this.#rows.find((row) => row.id === id)!;
  }
}
