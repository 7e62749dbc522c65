import type { System, Tick } from '@sequoiafield/tables';
import {
  DirectMessageKind,
  MoveOutcome,
  type CallEvidence,
  type DirectMessenger,
  type EvidenceRecorder,
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

/** Interval of evidence; a bad version is seen within it, the judge's tick and the gossip. */
const sendIntervalMs = 100;
/** Routes that are counted apart, so that the evidence fits one datagram; the rest is one more. */
const routesMax = 12;
const otherRoutes = '';

/** What the sender reads of the backend server beside this node. */
export interface OwnServerView {
  readonly service: string;
  readonly backendVersion: string;
  readonly runningCalls: number;
  readonly isCold: boolean;
}

/** What an evidence sender works with. */
export interface EvidenceSenderDependencies {
  readonly selfId: string;
  readonly orders: OrdersView;
  readonly policy: VersionPolicy;
  readonly judges: JudgeSelector;
  readonly messenger: DirectMessenger;
  readonly ownServer: () => OwnServerView | undefined;
  /** Evidence for a judge on this node itself. */
  readonly onOwnEvidence: (evidence: ServerEvidence) => void;
}

/** Counts what the own backend server answers while a move runs, and tells the judges. */
export class EvidenceSender implements EvidenceRecorder, System {
  readonly name = 'move-evidence';

  #orderRevision = 0;

  #countedVersion = '';

  #routes = new Map<string, RouteCounts>();

  #nextAtMs = 0;

  constructor(private readonly parts: EvidenceSenderDependencies) {}

  recordEnded(evidence: CallEvidence): void {
    const own = this.parts.ownServer();
    if (!own || own.service !== evidence.service) return;
    this.#startOver(own);
    // A cold server is slow, whatever its version; a failure counts all the same.
    const status = evidence.status ?? 0;
    if (this.#orderRevision === 0 || (own.isCold && status < 500)) return;
    const isApart = this.#routes.has(evidence.route) || this.#routes.size < routesMax;
    const route = isApart ? evidence.route : otherRoutes;
    const counts = this.#routes.get(route) ?? createRouteCounts();
    this.#routes.set(route, counts);
    recordCall(counts, status, evidence.latencyMs);
  }

  recordUnanswered(): void {
    // The node beside the server sees the same call end.
  }

  run(tick: Tick): void {
    const own = this.parts.ownServer();
    if (!own || tick.nowMs < this.#nextAtMs) return;
    this.#startOver(own);
    if (this.#orderRevision === 0) return;
    this.#nextAtMs = tick.nowMs + sendIntervalMs;
    const evidence: ServerEvidence = {
      service: own.service,
      orderRevision: this.#orderRevision,
      backendVersion: own.backendVersion,
      runningCalls: own.runningCalls,
      routes: Object.fromEntries(this.#routes),
    };
    for (const id of this.parts.judges.judgesOf(own.service)) {
      if (id === this.parts.selfId) this.parts.onOwnEvidence(evidence);
      else this.parts.messenger.send(id, DirectMessageKind.MoveEvidence, evidence);
    }
  }

  /** Counts start anew with each order and each version of the server. */
  #startOver(own: OwnServerView): void {
    const order = this.parts.orders.current().moves.get(own.service);
    const isRunning =
      order !== undefined && this.parts.policy.progressOf(order).outcome === MoveOutcome.Running;
    const revision = isRunning ? order.revision : 0;
    if (revision === this.#orderRevision && own.backendVersion === this.#countedVersion) return;
    this.#orderRevision = revision;
    this.#countedVersion = own.backendVersion;
    this.#routes = new Map();
  }
}
