import assert from 'node:assert/strict';
import { monotonicNowMs, SeededRandom } from '@sequoiafield/tables';
import type { PausedClock } from '@sequoiafield/test-kit';
import {
  DataCentreState,
  MemberState,
  Priority,
  type AttemptReport,
  type DataCentreIntent,
  type MemberRow,
  type Snapshot,
} from '@sequoiafield/types';
import { createRouting, type RoutingComponents, type RoutingMechanisms } from '../index.js';

export const service = 'lager';
export const slotsPerMember = 10;
export const dataCentres = ['near', 'mid', 'far'] as const;

const createRow = (id: string, dataCentre: string): MemberRow => ({
  id,
  dataCentre,
  service,
  region: dataCentre === 'far' ? 'r2' : 'r1',
  incarnation: 1,
  address: '127.0.0.1',
  gossipPort: 1,
  linkPort: 2,
  callPort: 3,
  backendVersion: 'v1',
  state: MemberState.Alive,
  configVersion: 1,
  stateChangedAtMs: 0,
});

export const createSnapshot = (
  changes: Partial<Record<string, Partial<DataCentreIntent>>>,
): Snapshot => ({
  configVersion: 1,
  manifestDigest: '',
  mesh: {
    dataCentres: dataCentres.map((name) => ({
      name,
      region: name === 'far' ? 'r2' : 'r1',
      state: DataCentreState.InService,
      rampS: 30,
      changedAtUnixMs: 0,
      ...changes[name],
    })),
    routeIndex: [],
  },
  services: new Map([
    [
      service,
      {
        service: {
          name: service,
          priority: Priority.Normal,
          stableVersion: 'v1',
          slots: slotsPerMember,
          connectionsMax: 100,
          failureLimitPercent: 2,
          latencyLimitMs: 250,
        },
        routes: [],
        moves: [],
      },
    ],
  ]),
});

type Answer = Omit<AttemptReport, 'memberId' | 'service'>;

const idleLoad = { runningCalls: 0, queuedCalls: 0, slotsNow: slotsPerMember };
export const successfulAnswer: Answer = { hasFailed: false, latencyMs: 10, load: idleLoad };

/** One caller in data centre `near` and two members per data centre. */
export class FakeFleet {
  rows = dataCentres.flatMap((name) => [
    createRow(`${name}-1`, name),
    createRow(`${name}-2`, name),
  ]);

  snapshot = createSnapshot({});

  rolledBackVersions = new Set<string>();

  answers = new Map<string, Answer>();

  /** Service time; longer than the time between calls, so that load builds up. */
  serviceMs = new Map<string, number>();

  calls = new Map<string, number>();

  maxRunning = new Map<string, number>();

  create(mechanisms: Partial<RoutingMechanisms>, seed = 1): RoutingComponents {
    return createRouting({
      selfId: 'caller',
      dataCentre: 'near',
      region: 'r1',
      snapshot: { current: () => this.snapshot, isServing: () => true, requestSection: () => {} },
      members: {
        selfId: 'caller',
        revision: () => 0,
        fleetSize: () => this.rows.length,
        get: (id) => this.rows.find((row) => row.id === id),
        all: () => this.rows,
        ofService: () => this.rows,
      },
      rollout: { isAllowed: (_service, version) => !this.rolledBackVersions.has(version) },
      random: new SeededRandom(seed),
      mechanisms,
    });
  }

  setSnapshot(snapshot: Snapshot): void {
    this.snapshot = snapshot;
  }

  setState(id: string, state: MemberState): void {
    const row = this.rows.find((candidate) => candidate.id === id);
    assert.ok(row);
    row.state = state;
  }

  /** Sends one call each 10 ms for `durationMs` and answers each after its service time. */
  async run(clock: PausedClock, routing: RoutingComponents, durationMs: number): Promise<void> {
    const runningCalls: { memberId: string; endsAtMs: number }[] = [];
    for (let atMs = 0; atMs < durationMs; atMs += 10) {
      routing.systems.forEach((system) => {
        if (atMs % 100 === 0)
          system.run({ nowMs: atMs, nowUnixMs: 0, elapsedMs: 100, wasPaused: false });
      });
      const row = routing.router.choose(service, 'v1', new Set());
      if (row) {
        this.calls.set(row.id, (this.calls.get(row.id) ?? 0) + 1);
        routing.router.begin(row.id);
        runningCalls.push({
          memberId: row.id,
          endsAtMs: monotonicNowMs() + (this.serviceMs.get(row.id) ?? 10),
        });
        const running = runningCalls.filter(({ memberId }) => memberId === row.id).length;
        this.maxRunning.set(row.id, Math.max(running, this.maxRunning.get(row.id) ?? 0));
      }
      await clock.advance(10);
      for (const endedCall of runningCalls.filter(({ endsAtMs }) => endsAtMs <= monotonicNowMs())) {
        runningCalls.splice(runningCalls.indexOf(endedCall), 1);
        const answer = this.answers.get(endedCall.memberId) ?? successfulAnswer;
        routing.router.report({ memberId: endedCall.memberId, service, ...answer });
      }
    }
  }

  callsAt(prefix: string): number {
    return [...this.calls].reduce((sum, [id, n]) => (id.startsWith(prefix) ? sum + n : sum), 0);
  }
}
