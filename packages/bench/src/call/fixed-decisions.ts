import {
  MemberState,
  Priority,
  type Admission,
  type EvidenceRecorder,
  type LoadReport,
  type MemberRow,
  type RolloutView,
  type RouteIntent,
  type Router,
  type ServiceIntent,
  type SnapshotView,
} from '@sequoiafield/types';
import type { PeerPorts } from './messages.js';

const service: ServiceIntent = {
  name: 'tab-view',
  priority: Priority.Normal,
  stableVersion: 'v1',
  slots: 10,
  connectionsMax: 130,
  failureLimitPercent: 2,
  latencyLimitMs: 250,
};

const createRoute = (method: string): RouteIntent => ({
  name: method === 'GET' ? 'lookup' : 'settle',
  service: service.name,
  method,
  path: '/*',
  isIdempotent: method === 'GET',
  deadlineMs: 2000,
  retryBudgetPercent: 10,
});

const routes = new Map(['GET', 'POST'].map((method) => [method, createRoute(method)]));

/** Creates the row of a benchmark node in the members table. */
export const createMemberRow = ({ id, linkPort, callPort }: PeerPorts): MemberRow => ({
  id,
  incarnation: 1,
  address: '127.0.0.1',
  gossipPort: 0,
  linkPort,
  callPort,
  region: 'hellas',
  dataCentre: 'ath-1',
  service: service.name,
  backendVersion: 'v1',
  state: MemberState.Alive,
  configVersion: 1,
  stateChangedAtMs: 0,
});

/** Makes fixed decisions at no cost, so that only the transport and the call path are measured. */
export class FixedDecisions
  implements Router, RolloutView, SnapshotView, Admission, EvidenceRecorder
{
  #member: MemberRow | undefined;

  readonly #load: LoadReport = { runningCalls: 0, queuedCalls: 0, slotsNow: 10 };

  readonly #permit = { release: () => undefined };

  setMember(member: MemberRow): void {
    this.#member = member;
  }

  match(method: string): { route: RouteIntent; service: ServiceIntent } | undefined {
    const route = routes.get(method);
    return route && { route, service };
  }

  choose(): MemberRow | undefined {
    return this.#member;
  }

  begin(): void {
    // Nothing is counted.
  }

  report(): void {
    // Nothing is counted.
  }

  recordFirstAttempt(): void {
    // Nothing is counted.
  }

  takeRetry(): boolean {
    return false;
  }

  chooseVersion(): string {
    return 'v1';
  }

  isAllowed(): boolean {
    return true;
  }

  statuses(): [] {
    return [];
  }

  current(): undefined {
    return undefined;
  }

  isServing(): boolean {
    return true;
  }

  requestSection(): void {
    // Every section is available from the start.
  }

  load(): LoadReport {
    return this.#load;
  }

  async admit() {
    return { kind: 'permit', permit: this.#permit } as const;
  }

  recordEnded(): void {
    // Nothing is counted.
  }

  recordUnanswered(): void {
    // Nothing is counted.
  }
}
