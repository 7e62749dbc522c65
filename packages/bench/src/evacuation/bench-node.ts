import { createAdmission, type AdmissionParts } from '@sequoiafield/admission';
import { createRouting, type Routing } from '@sequoiafield/routing';
import { SeededRandom } from '@sequoiafield/tables';
import type { MemberRow, MemberView, Snapshot } from '@sequoiafield/types';
import type { EventSchedule } from './event-schedule.js';
import { FakeBackendServer } from './fake-backend-server.js';
import type { Policy } from './policy.js';
import type { UserService } from './users.js';

/** Router and admission beside one fake backend server. */
export class BenchNode {
  readonly server: FakeBackendServer;

  readonly routing: Routing;

  readonly admission: AdmissionParts;

  #snapshot: Snapshot;

  constructor(
    readonly row: MemberRow,
    service: UserService,
    members: MemberView,
    snapshot: Snapshot,
    schedule: EventSchedule,
    seed: number,
    policy: Policy,
  ) {
    this.#snapshot = snapshot;
    const random = new SeededRandom(seed);
    const server = new FakeBackendServer(schedule, random, service.serviceMs);
    this.server = server;
    const view = { current: () => this.#snapshot, isServing: () => true, want: () => {} };
    this.admission = createAdmission({
      selfId: row.id,
      dataCentre: row.dataCentre,
      incarnation: row.incarnation,
      snapshot: view,
      rollout: { chooseVersion: () => 'v1', isAllowed: () => true, statuses: () => [] },
      ownServer: () =>
        server.isRunning
          ? {
              service: service.name,
              backendVersion: 'v1',
              isDraining: false,
              startedAtMs: server.startedAtMs,
            }
          : undefined,
      random,
      mechanisms: policy.admission(),
    });
    this.routing = createRouting({
      selfId: row.id,
      dataCentre: row.dataCentre,
      region: row.region,
      snapshot: view,
      members,
      random,
      ownLoad: () => this.admission.admission.load(),
      mechanisms: policy.routing(),
    });
  }

  use(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
  }

  tick(nowMs: number): void {
    const tick = { nowMs, nowUnixMs: Date.now(), elapsedMs: 100, wasPaused: false };
    [...this.routing.systems, ...this.admission.systems].forEach((system) => system.run(tick));
  }
}
