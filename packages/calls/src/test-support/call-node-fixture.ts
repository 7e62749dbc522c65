import { after } from 'node:test';
import { createServer, type RequestListener, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import { createTransport, type Transport, type TransportOptions } from '@sequoiafield/transport';
import {
  MemberState,
  Priority,
  type Admission,
  type AttemptReport,
  type CallEvidence,
  type CalledRoute,
  type CallRefusal,
  type KeyChecker,
  type MemberRow,
  type RouteIntent,
  type ServiceIntent,
} from '@sequoiafield/types';
import {
  BackendCallReceiver,
  CallProxy,
  createCallProxy,
  UndiciBackendClient,
  type BackendClientOptions,
  type BodyMemory,
  type CallProtocol,
  type RetryPolicy,
} from '../index.js';

const servers = new Set<Server>();
const startedNodes = new Set<{ stop(): Promise<void> }>();

// A failed test leaves its nodes and servers running, which would keep the process from ending.
after(async () => {
  await Promise.all([...startedNodes].map((node) => node.stop()));
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

/** Starts an HTTP server on a free loopback port. */
export const listen = async (listener: RequestListener): Promise<[Server, string]> => {
  const server = createServer(listener);
  servers.add(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return [server, `http://127.0.0.1:${(server.address() as AddressInfo).port}`];
};

const service: ServiceIntent = {
  name: 'settlement',
  priority: Priority.Critical,
  stableVersion: 'v1',
  slots: 10,
  connectionsMax: 16,
  failureLimitPercent: 2,
  latencyLimitMs: 250,
};

const createRoute = (
  isIdempotent: boolean,
  hasLargeBodies: boolean,
): CalledRoute & RouteIntent => ({
  hasLargeBodies,
  name: isIdempotent ? 'lookup' : 'settle',
  service: service.name,
  method: isIdempotent ? 'GET' : 'POST',
  path: '/*',
  isIdempotent,
  deadlineMs: 20_000,
  retryBudgetPercent: 10,
});

/** Options of a `CallNodeFixture`. */
export interface CallNodeFixtureOptions {
  readonly origin?: string;
  readonly transport?: Partial<TransportOptions>;
  readonly backend?: Partial<BackendClientOptions>;
  readonly retryPolicy?: RetryPolicy;
  readonly protocol?: CallProtocol;
  readonly keyChecker?: KeyChecker;
  /** Returns the refusal of the admission, or undefined to admit the call. */
  readonly admit?: () => CallRefusal | undefined;
  readonly isAllowed?: () => boolean;
  readonly chooseVersion?: (roll: number) => string;
  readonly service?: string;
  readonly bodyMemory?: BodyMemory;
}

/** Node in the test process whose routing, admission and rollout decisions are set by the test. */
export class CallNodeFixture {
  readonly reports: AttemptReport[] = [];

  readonly evidence: CallEvidence[] = [];

  /** Versions for which the router was asked to choose a member. */
  readonly requestedVersions: string[] = [];

  /** Calls that were recorded as unanswered. */
  unanswered = 0;

  /** Admission permits that were released. */
  released = 0;

  /** Calls that the admission was asked for. */
  asked = 0;

  #isServing = true;

  isOutdated = false;

  readonly self: MemberRow;

  readonly transport: Transport;

  readonly receiver: BackendCallReceiver;

  readonly calls: CallProxy;

  #members: readonly MemberRow[] = [];

  readonly backend: UndiciBackendClient;

  readonly #loop: TickLoop;

  constructor(id: string, options: CallNodeFixtureOptions = {}) {
    this.self = {
      id,
      incarnation: 1000,
      address: '127.0.0.1',
      gossipPort: 0,
      linkPort: 0,
      callPort: 0,
      region: 'hellas',
      dataCentre: 'ath-1',
      service: options.service ?? service.name,
      backendVersion: 'v1',
      state: MemberState.Alive,
      configVersion: 1,
      stateChangedAtMs: 0,
    };
    const logger = new SilentLogger();
    const random = new SeededRandom(1);
    const origin = options.origin ?? 'http://127.0.0.1:9';
    const { bodyMemory } = options;
    this.backend = new UndiciBackendClient({
      ...{ origin, bodyMemory, connectionsMax: 16 },
      ...options.backend,
    });
    const load = { runningCalls: 0, queuedCalls: 0, slotsNow: 10 };
    const admission: Admission = {
      load: () => load,
      admit: async () => {
        this.asked += 1;
        const refusal = options.admit?.();
        const release = (): void => {
          this.released += 1;
        };
        return refusal ? { kind: 'refusal', refusal } : { kind: 'permit', permit: { release } };
      },
    };
    const rollout = {
      chooseVersion: (_service: string, roll: number) => options.chooseVersion?.(roll) ?? 'v1',
      isAllowed: options.isAllowed ?? (() => true),
      statuses: () => [],
    };
    const evidence = {
      recordEnded: (ended: CallEvidence) => {
        this.evidence.push(ended);
      },
      recordUnanswered: () => {
        this.unanswered += 1;
      },
    };
    const { self, backend } = this;
    this.receiver = new BackendCallReceiver({
      self,
      bodyMemory,
      rollout,
      admission,
      evidence,
      backend,
    });
    const { receiver } = this;
    this.transport = createTransport({
      ...{ self, receiver, logger, random },
      mechanisms: { bodyBudget: bodyMemory?.node },
      ...options.transport,
    });
    this.calls = createCallProxy({
      self,
      bodyMemory,
      rollout,
      evidence,
      receiver,
      logger,
      random,
      sender: this.transport.sender,
      sequence: this.transport.attemptSequence,
      snapshots: {
        current: () => undefined,
        isServing: () => this.#isServing,
        isOutdated: () => this.isOutdated,
      },
      router: {
        match: (method, path) =>
          path.startsWith('/none')
            ? undefined
            : { route: createRoute(method !== 'POST', path.startsWith('/upload')), service },
        choose: (_service, version, tried) => {
          this.requestedVersions.push(version);
          return this.#members.find((member) => !tried.has(member.id)) ?? this.#members[0];
        },
        begin: () => undefined,
        report: (report) => {
          this.reports.push(report);
        },
        recordFirstAttempt: () => undefined,
        takeRetry: () => true,
      },
      retryPolicy: options.retryPolicy,
      protocol: options.protocol,
      keyChecker: options.keyChecker,
    });
    this.#loop = new TickLoop(
      [...this.transport.systems, ...this.calls.systems],
      (_name, error) => {
        throw error;
      },
    );
  }

  get url(): string {
    return `http://127.0.0.1:${this.calls.callPort}`;
  }

  /** Sets the members that this node may choose, in order of preference. */
  setMembers(members: readonly MemberRow[]): void {
    this.#members = members;
  }

  setServing(isServing: boolean): void {
    this.#isServing = isServing;
  }

  /** Members table row of this node, with its ports. */
  get row(): MemberRow {
    return { ...this.self, linkPort: this.transport.linkPort, callPort: this.calls.callPort };
  }

  async start(): Promise<this> {
    startedNodes.add(this);
    await this.transport.start();
    await this.calls.start();
    this.#loop.start();
    return this;
  }

  async stop(): Promise<void> {
    startedNodes.delete(this);
    this.#loop.stop();
    await this.calls.stop();
    await this.transport.stop();
    await this.backend.close();
  }
}
