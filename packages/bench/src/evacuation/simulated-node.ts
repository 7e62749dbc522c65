import { createAdmission, type AdmissionComponents } from '@sequoiafield/admission';
import { createRouting, type RoutingComponents } from '@sequoiafield/routing';
import { SeededRandom } from '@sequoiafield/tables';
import type { MemberRow, MemberView, Snapshot } from '@sequoiafield/types';
import type { EventScheduler } from './event-scheduler.js';
import { SimulatedBackendServer } from './simulated-backend-server.js';
import type { TrafficPolicy } from './traffic-policy.js';
import type { ServiceWorkload } from './user-workloads.js';

/** Router and admission of one node with its simulated backend server. */
export class SimulatedNode {
  readonly server: SimulatedBackendServer;

  readonly routing: RoutingComponents;

  readonly admission: AdmissionComponents;

  #snapshot: Snapshot;

  constructor(
    readonly row: MemberRow,
    service: ServiceWorkload,
    members: MemberView,
    snapshot: Snapshot,
    schedule: EventScheduler,
    seed: number,
    policy: TrafficPolicy,
  ) {
    this.#snapshot = snapshot;
    const random = new SeededRandom(seed);
    const server = new SimulatedBackendServer(schedule, random, service.serviceMs);
    this.server = server;
    const snapshotView = {
      current: () => this.#snapshot,
      isServing: () => true,
      requestSection: () => {},
    };
    this.admission = createAdmission({
      selfId: row.id,
      dataCentre: row.dataCentre,
      incarnation: row.incarnation,
      snapshot: snapshotView,
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
      mechanisms: policy.createAdmissionMechanisms(),
    });
    this.routing = createRouting({
      selfId: row.id,
      dataCentre: row.dataCentre,
      region: row.region,
      snapshot: snapshotView,
      members,
      random,
      ownLoad: () => this.admission.admission.load(),
      mechanisms: policy.createRoutingMechanisms(),
    });
  }

  setSnapshot(snapshot: Snapshot): void {
    this.#snapshot = snapshot;
  }

  tick(nowMs: number): void {
    const tick = { nowMs, nowUnixMs: Date.now(), elapsedMs: 100, wasPaused: false };
    [...this.routing.systems, ...this.admission.systems].forEach((system) => system.run(tick));
  }
}
