import type { System, Tick } from '@sequoiafield/tables';
import {
  DirectMessageKind,
  MoveOutcome,
  type CallEvidence,
  type DirectMessenger,
  type EvidenceRecorder,
  type MemberView,
  type OrdersView,
} from '@sequoiafield/types';
import {
  recordCall,
  createRouteCounts,
  type RouteCounts,
  type ServerEvidence,
} from './server-evidence.js';
import type { JudgeSelector } from './judge-selector.js';
import type { VersionPolicy } from './version-policy.js';

/**
 * Interval of messages; a bad version is detected within this interval, a tick of the judge and the
 * delay of gossip. It grows with the number of a service's servers up to the maximum, since the servers
 * together show a bad version as soon with fewer messages of each.
 */
const sendIntervalMinMs = 100;
const sendIntervalPerServerMs = 4;
const sendIntervalMaxMs = 400;
/** Maximum number of routes that are counted separately, so that the evidence fits one datagram. */
const routesMax = 12;
/** Name under which the calls of all further routes are counted together. */
const otherRoutes = '';

/** State of the backend server beside this node that the sender reads. */
export interface OwnServerView {
  readonly service: string;
  readonly backendVersion: string;
  readonly runningCalls: number;
  readonly isCold: boolean;
}

/** Dependencies of an evidence sender. */
export interface EvidenceSenderDependencies {
  readonly selfId: string;
  readonly orders: OrdersView;
  readonly policy: VersionPolicy;
  readonly judges: JudgeSelector;
  readonly members: MemberView;
  readonly messenger: DirectMessenger;
  readonly ownServer: () => OwnServerView | undefined;
  /** Receives the evidence if this node is a judge itself. */
  readonly onOwnEvidence: (evidence: ServerEvidence) => void;
}

/**
 * Counts the calls that end on the own backend server during a move, and sends the counts to the
 * judges.
 */
export class EvidenceSender implements EvidenceRecorder, System {
  readonly name = 'move-evidence';

  #orderRevision = 0;

  #countedVersion = '';

  #routes = new Map<string, RouteCounts>();

  #nextAtMs = 0;

  constructor(private readonly dependencies: EvidenceSenderDependencies) {}

  recordEnded(evidence: CallEvidence): void {
    const own = this.dependencies.ownServer();
    if (!own || own.service !== evidence.service) return;
    this.#resetIfChanged(own);
    // A cold server is slow regardless of its version, so only its failures count.
    const status = evidence.status ?? 0;
    if (this.#orderRevision === 0 || (own.isCold && status < 500)) return;
    const isCountedSeparately = this.#routes.has(evidence.route) || this.#routes.size < routesMax;
    const route = isCountedSeparately ? evidence.route : otherRoutes;
    const counts = this.#routes.get(route) ?? createRouteCounts();
    this.#routes.set(route, counts);
    recordCall(counts, status, evidence.latencyMs);
  }

  recordUnanswered(): void {
    // The node beside the backend server records the same call when it ends.
  }

  run(tick: Tick): void {
    const own = this.dependencies.ownServer();
    if (!own || tick.nowMs < this.#nextAtMs) return;
    this.#resetIfChanged(own);
    if (this.#orderRevision === 0) return;
    const serversCount = this.dependencies.members.ofService(own.service).length;
    this.#nextAtMs =
      tick.nowMs +
      Math.min(
        sendIntervalMaxMs,
        Math.max(sendIntervalMinMs, sendIntervalPerServerMs * serversCount),
      );
    const evidence: ServerEvidence = {
      service: own.service,
      orderRevision: this.#orderRevision,
      backendVersion: own.backendVersion,
      runningCalls: own.runningCalls,
      routes: Object.fromEntries(this.#routes),
    };
    for (const id of this.dependencies.judges.judgesOf(own.service)) {
      if (id === this.dependencies.selfId) this.dependencies.onOwnEvidence(evidence);
      else this.dependencies.messenger.send(id, DirectMessageKind.MoveEvidence, evidence);
    }
  }

  /** Resets the counts when the order or the version of the own backend server changes. */
  #resetIfChanged(own: OwnServerView): void {
    const order = this.dependencies.orders.current().moves.get(own.service);
    const isRunning =
      order !== undefined &&
      this.dependencies.policy.progressOf(order).outcome === MoveOutcome.Running;
    const revision = isRunning ? order.revision : 0;
    if (revision === this.#orderRevision && own.backendVersion === this.#countedVersion) return;
    this.#orderRevision = revision;
    this.#countedVersion = own.backendVersion;
    this.#routes = new Map();
  }
}
