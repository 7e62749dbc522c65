import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, type System } from '@sequoiafield/tables';
import type {
  DirectMessageKind,
  MemberAnnouncement,
  MemberRow,
  MemberView,
  RegisterEntry,
  RegisterGossip,
  RegisterKind,
  RolloutView,
  EvidenceRecorder,
  ShareTracker,
} from '@sequoiafield/types';
import { createRollout, type RolloutComponents } from '../create-rollout.js';
import { hash32 } from '../rendezvous.js';
import type { VerdictStore } from '../verdict-writer.js';
import type { FakeMesh } from './fake-mesh.js';

/** Options of one node of a fake mesh. */
export interface FakeNodeOptions {
  readonly id: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly backendVersion: string;
  /** Offset of this node's wall clock from that of the mesh. */
  readonly clockSkewMs?: number;
  readonly components?: Partial<RolloutComponents>;
  readonly verdictStore?: VerdictStore;
}

type MessageHandler = (body: unknown, fromId: string) => void;
type RegisterHandler = (entry: RegisterEntry, fromId: string) => void;

/** One incarnation of a node: a real rollout with fakes of its dependencies. */
export class FakeNode implements RegisterGossip {
  readonly view: RolloutView;

  readonly recorder: EvidenceRecorder;

  readonly shareTracker: ShareTracker;

  readonly systems: readonly System[];

  isPaused = false;

  lastTickAtMs: number | undefined;

  readonly entries = new Map<string, RegisterEntry>();

  readonly #messageHandlers: [DirectMessageKind, MessageHandler][] = [];

  readonly #registerHandlers: [RegisterKind, RegisterHandler][] = [];

  constructor(
    readonly options: FakeNodeOptions,
    readonly incarnation: number,
    private readonly mesh: FakeMesh,
  ) {
    const { id } = options;
    const rollout = createRollout({
      selfId: id,
      snapshot: {
        current: () => mesh.snapshot,
        isServing: () => !this.isPaused,
        requestSection: () => undefined,
      },
      members: this.#members(),
      registers: this,
      messenger: {
        send: (memberId, kind, body) => this.send(memberId, kind, body),
        subscribe: (kind, handler) => this.#messageHandlers.push([kind, handler]),
      },
      logger: new SilentLogger(),
      verdictStore: options.verdictStore,
      random: new SeededRandom(hash32(id, String(mesh.seed))),
      nowUnixMs: () => this.nowUnixMs(),
      components: options.components,
    });
    this.view = rollout.view;
    this.recorder = rollout.recorder;
    this.shareTracker = rollout.shareTracker;
    this.systems = rollout.systems;
  }

  get id(): string {
    return this.options.id;
  }

  nowUnixMs(): number {
    return this.mesh.nowUnixMs + (this.options.clockSkewMs ?? 0);
  }

  announcement(): MemberAnnouncement {
    const { id, dataCentre, service, backendVersion } = this.options;
    return {
      ...{ id, dataCentre, service, backendVersion, incarnation: this.incarnation },
      ...{ address: '127.0.0.1', gossipPort: 0, linkPort: 0, callPort: 0, region: 'region-1' },
    };
  }

  tick(): void {
    const nowMs = this.mesh.nowMs;
    const elapsedMs = this.lastTickAtMs === undefined ? 0 : nowMs - this.lastTickAtMs;
    this.lastTickAtMs = nowMs;
    const wasPaused = elapsedMs > 2000;
    this.systems.forEach((system) =>
      system.run({ nowMs, nowUnixMs: this.nowUnixMs(), elapsedMs, wasPaused }),
    );
  }

  publish(entry: RegisterEntry): boolean {
    return this.accept(entry, this.id);
  }

  /** Stores a register entry and pushes it to other nodes if the mesh accepts it. */
  accept(entry: RegisterEntry, fromId: string): boolean {
    const key = `${entry.kind}\n${entry.key}`;
    const known = this.entries.get(key);
    if (!this.mesh.isAccepted(known, entry)) return false;
    this.entries.set(key, entry);
    this.#registerHandlers
      .filter(([kind]) => kind === entry.kind)
      .forEach(([, handler]) => handler(entry, fromId));
    this.mesh.pushRegister(this.id, entry);
    return true;
  }

  read(kind: RegisterKind, key: string): RegisterEntry | undefined {
    return this.entries.get(`${kind}\n${key}`);
  }

  send(memberId: string, kind: DirectMessageKind, body: unknown): void {
    if (this.mesh.isCountingBytes) {
      const bytes = JSON.stringify(body).length;
      const { sentBytes, receivedBytes } = this.mesh;
      sentBytes.set(this.id, (sentBytes.get(this.id) ?? 0) + bytes);
      receivedBytes.set(memberId, (receivedBytes.get(memberId) ?? 0) + bytes);
    }
    this.mesh.deliver(this.id, memberId, (node) => node.receive(kind, body, this.id));
  }

  receive(kind: DirectMessageKind, body: unknown, fromId: string): void {
    this.#messageHandlers
      .filter(([handled]) => handled === kind)
      .forEach(([, handler]) => handler(body, fromId));
  }

  subscribe(kind: RegisterKind, handler: RegisterHandler): void {
    this.#registerHandlers.push([kind, handler]);
  }

  #members(): MemberView {
    const rows = (): MemberRow[] => this.mesh.membersSeenBy(this);
    return {
      selfId: this.id,
      revision: () => 0,
      fleetSize: () => rows().length,
      get: (id) => rows().find((row) => row.id === id),
      all: () => rows(),
      ofService: (service) => rows().filter((row) => row.service === service),
    };
  }
}
