import {
  CapacityMode,
  MemberState,
  type CallOpen,
  type MemberRow,
  type MeshOrders,
  type OrdersView,
} from '@sequoiafield/types';

const defaultOrders: MeshOrders = {
  storeRevision: 1,
  configuration: {
    version: 1,
    routes: [],
    services: new Map([
      [
        's',
        {
          name: 's',
          connectionsMax: 100,
          capacityMode: CapacityMode.Declared,
          coldStartMs: 3000,
          coldRequestsPerS: 20,
        },
      ],
    ]),
    limits: {
      headerMaxBytes: 16_384,
      bodyMaxBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  },
  moves: new Map(),
  moveRecords: new Map(),
  evacuatedDataCentres: new Set(),
};

/**
 * Orders that a test can change; `targetLatenciesMs` defines the routes by target latency, `ranks` their
 * ranks.
 */
export class SampleOrders implements OrdersView {
  orders = defaultOrders;

  constructor(
    targetLatenciesMs: Readonly<Record<string, number>> = {},
    ranks: Readonly<Record<string, number>> = {},
  ) {
    const routes = Object.entries(targetLatenciesMs).map(([name, targetLatencyMs]) => ({
      ...{ name, targetLatencyMs, host: 'h', pathPrefix: `/${name}/`, isIdempotent: true },
      ...{ isPublic: false, hasLargeBodies: false },
      ...{ timeoutMs: 1000, attemptsMax: 2, rank: ranks[name] ?? 1 },
      destinations: [{ service: 's', weight: 1 }],
    }));
    this.change({ configuration: { ...defaultOrders.configuration!, routes } });
  }

  current(): MeshOrders {
    return this.orders;
  }

  /** Sets the capacity mode of service `s`. */
  setCapacityMode(capacityMode: CapacityMode): void {
    const configuration = this.orders.configuration!;
    const service = { ...configuration.services.get('s')!, capacityMode };
    this.change({ configuration: { ...configuration, services: new Map([['s', service]]) } });
  }

  change(changes: Partial<MeshOrders>): void {
    this.orders = { ...this.orders, ...changes };
  }
}

/** Returns the head of a call to service `s`, version `v1`, whose deadline never passes. */
export const sampleOpen = (changes: Partial<CallOpen> = {}): CallOpen => ({
  requestId: 'r',
  attempt: { senderId: 'a', senderIncarnation: 1, sequence: 1, receiverIncarnation: 1 },
  service: 's',
  route: 'route',
  backendVersion: 'v1',
  configVersion: 1,
  priority: 2,
  isIdempotent: true,
  deadlineAtMs: Number.MAX_SAFE_INTEGER,
  method: 'GET',
  path: '/',
  headers: [],
  ...changes,
});

/** Returns a live member of service `s`, version `v1`, in the data centre `near`. */
export const sampleMember = (id: string, changes: Partial<MemberRow> = {}): MemberRow => ({
  id,
  incarnation: 1,
  address: '10.0.0.1',
  gossipPort: 1,
  linkPort: 1,
  callPort: 1,
  region: 'r',
  dataCentre: 'near',
  service: 's',
  backendVersion: 'v1',
  state: MemberState.Alive,
  configVersion: 0,
  stateChangedAtMs: 0,
  ...changes,
});
