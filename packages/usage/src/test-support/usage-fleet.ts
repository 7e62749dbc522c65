import assert from 'node:assert/strict';
import { SilentLogger } from '@sequoiafield/logger';
import { MemoryLeaseStore } from '@sequoiafield/store';
import { SeededRandom, TickLoop, type Tick } from '@sequoiafield/tables';
import { sampleMember, type PausedClock } from '@sequoiafield/test-kit';
import {
  MemberState,
  type LinkRequester,
  type LinkRequestKind,
  type MemberAnnouncement,
  type MemberRow,
  type MemberView,
} from '@sequoiafield/types';
import { createUsage, type Usage } from '../index.js';
import { RecordingSink } from './recording-sink.js';

export const windowMs = 5000;
export const lateMs = 10_000;
const stepMs = 100;

type Handler = (body: unknown, fromId: string) => unknown;

/** Process of one node. */
export interface UsageNode {
  readonly row: MemberRow;
  readonly usage: Usage;
  readonly loop: TickLoop;
  readonly handlers: ReadonlyMap<LinkRequestKind, Handler>;
}

/** Nodes with usage reporting on the paused clock, and what their servers ran in truth. */
export class UsageFleet {
  readonly store = new MemoryLeaseStore();

  readonly sink = new RecordingSink();

  readonly nodes = new Map<string, UsageNode>();

  /** Requests that were run, by window and account. */
  readonly truth = new Map<number, Map<string, number>>();

  /** Requests on links between different data centres. */
  farRequests = 0;

  linkRequests = 0;

  /** Node that is stopped for a while, and runs no requests. */
  stoppedId = '';

  /** Whether a link request is lost. */
  isLost: (fromId: string, toId: string) => boolean = () => false;

  readonly #rows: MemberRow[] = [];

  readonly #random = new SeededRandom(5);

  #incarnation = 0;

  constructor(
    private readonly clock: PausedClock,
    countsByDataCentre: readonly number[],
  ) {
    for (const [dataCentre, count] of countsByDataCentre.entries()) {
      for (let index = 0; index < count; index++) this.#addRow(dataCentre, index);
    }
    this.#rows.forEach((row) => this.start(row));
  }

  /** Starts a node, or a new process of a killed one. */
  start(row: MemberRow): void {
    this.#incarnation += 1;
    Object.assign(row, { incarnation: this.#incarnation, state: MemberState.Alive });
    const handlers = new Map<LinkRequestKind, Handler>();
    const usage = createUsage({
      ...{ selfId: row.id, incarnation: this.#incarnation, windowMs, lateMs, leaseMs: 3000 },
      ...{ members: this.#viewOf(row), links: this.#linksOf(row, handlers) },
      ...{ store: this.store, sink: this.sink, logger: new SilentLogger() },
      random: new SeededRandom(this.#incarnation),
    });
    const systems = usage.systems.map((system) => ({
      name: system.name,
      run: (tick: Tick) => (row.id === this.stoppedId ? undefined : system.run(tick)),
    }));
    const loop = new TickLoop(systems, (_, error) => assert.fail(String(error)));
    this.nodes.set(row.id, { row, usage, loop, handlers });
    loop.start();
  }

  /** Kills the process of a node; the other members learn it at once. */
  kill(id: string): MemberRow {
    const { row, loop } = this.nodes.get(id)!;
    loop.stop();
    this.nodes.delete(id);
    row.state = MemberState.Dead;
    return row;
  }

  holderId(): string | undefined {
    return [...this.nodes.values()].find(({ usage }) => usage.duty.holding())?.row.id;
  }

  /** Runs requests of accounts on every node; a share of them is refused by the server later. */
  async run(durationMs: number, requestsPerStep = 1, accountsCount = 10): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) {
      for (const { usage, row } of this.nodes.values()) {
        if (row.id === this.stoppedId) continue;
        for (let index = 0; index < requestsPerStep; index++) this.#call(usage, accountsCount);
      }
      await this.clock.advance(stepMs, stepMs / 4);
    }
  }

  /** Fails if a window was reported with two contents. */
  checkConflicts(): void {
    assert.deepEqual(this.sink.conflictingWindows, []);
  }

  /** Fails if a reported window differs from the truth; returns the reported windows. */
  checkReports(): readonly number[] {
    this.checkConflicts();
    for (const [window, { counts }] of this.sink.reports) {
      assert.deepEqual(new Map(Object.entries(counts)), this.#sorted(window), `window ${window}`);
    }
    return [...this.sink.reports.keys()].sort();
  }

  /** Fails if a report differs from the truth, or a window whose report is due has none. */
  checkAllReported(): void {
    const reported = new Set(this.checkReports());
    const missing = this.windowsEnded(lateMs).filter((window) => !reported.has(window));
    assert.deepEqual(missing, []);
  }

  /** Windows that ended at least `sinceMs` ago. */
  windowsEnded(sinceMs: number): readonly number[] {
    const isEnded = (window: number): boolean => (window + 1) * windowMs + sinceMs <= Date.now();
    return [...this.truth.keys()].filter(isEnded);
  }

  #call(usage: Usage, accountsCount: number): void {
    const account = `a${this.#random.nextInt(accountsCount)}`;
    const undo = usage.counter.record(account);
    if (this.#random.next() < 0.1) {
      setTimeout(undo, this.#random.next() * 2000);
      return;
    }
    const window = Math.floor(Date.now() / windowMs);
    const counts = this.truth.get(window) ?? new Map<string, number>();
    this.truth.set(window, counts.set(account, (counts.get(account) ?? 0) + 1));
  }

  #sorted(window: number): ReadonlyMap<string, number> {
    return new Map([...(this.truth.get(window) ?? [])].sort());
  }

  #addRow(dataCentre: number, index: number): void {
    const id = `n${dataCentre}-${index}`;
    this.#rows.push(sampleMember(id, { dataCentre: `dc${dataCentre}` }));
  }

  #viewOf({ id: selfId }: MemberRow): MemberView {
    const find = (id: string) => this.#rows.find((row) => row.id === id);
    return { selfId, all: () => this.#rows, get: find } as unknown as MemberView;
  }

  #linksOf(from: MemberRow, handlers: Map<LinkRequestKind, Handler>): LinkRequester {
    const request = async (
      to: MemberAnnouncement,
      kind: LinkRequestKind,
      body: unknown,
    ): Promise<unknown> => {
      this.linkRequests += 1;
      if (to.dataCentre !== from.dataCentre) this.farRequests += 1;
      const peer = this.nodes.get(to.id);
      if (!peer || this.isLost(from.id, to.id)) throw new Error('the link is lost');
      return peer.handlers.get(kind)!(body, from.id);
    };
    return { request, handle: (kind, handler) => handlers.set(kind, handler) };
  }
}
