import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import {
  DataCentreState,
  RefusalOutcome,
  RefusalReason,
  type Admission,
  type AdmissionResult,
  type CallOpen,
  type CallRefusal,
  type CancelSignal,
  type LoadReport,
  type ShareTracker,
  type SnapshotView,
} from '@sequoiafield/types';
import type { AdmissionMechanisms } from './admission-mechanisms.js';
import type { QueueEntry } from './call-queue.js';
import type { OwnServer } from './own-server.js';
import type { RunningCall } from './slot-limiter.js';

/** Waiting calls per slot; a longer queue only makes every call late. */
export const queuedCallsPerSlotMax = 2;
const queueMin = 4;

/** Call in the queue with the way to answer it. */
export interface QueuedCall extends QueueEntry {
  readonly open: CallOpen;
  /** Drawn once per call; a new one at each look would refuse waiting calls more often. */
  readonly uniformSample: number;
  settle(result: AdmissionResult): void;
}

/** What admission reads. */
export interface SlotAdmissionDependencies {
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly snapshot: SnapshotView;
  readonly ownServer: () => OwnServer | undefined;
  readonly random: RandomSource;
  /** Told of each call that arrives, and of those that are refused over the share. */
  readonly observation: ShareTracker | undefined;
}

/**
 * Slots and a short queue in front of the own backend server; see `createAdmission`. Each refusal
 * says "not run" except for an attempt that was seen before, which may be running.
 *
 * @example
 * const result = await admission.admit(open, deadlineAtMs, signal);
 * if (result.kind === 'permit') result.permit.release({ hasFailed: false, latencyMs: 12 });
 */
export class SlotAdmission implements Admission, System {
  readonly name = 'admission';

  /** Refusals since the start of the process, by reason. */
  readonly refusals = new Map<RefusalReason, number>();

  readonly #running = new Set<RunningCall>();

  #serverStartedAtMs: number | undefined;

  constructor(
    private readonly dependencies: SlotAdmissionDependencies,
    private readonly mechanisms: AdmissionMechanisms,
  ) {}

  load(): LoadReport {
    return {
      runningCalls: this.#running.size,
      queuedCalls: this.mechanisms.queue.size,
      slotsNow: this.#slotsNow(),
    };
  }

  async admit(
    open: CallOpen,
    deadlineAtMs: number,
    signal: CancelSignal,
  ): Promise<AdmissionResult> {
    if (!this.mechanisms.attemptDeduplicator.add(open.attempt, deadlineAtMs)) {
      return this.#refuse(RefusalReason.DuplicateAttempt, RefusalOutcome.Unknown);
    }
    this.dependencies.observation?.recordOffered(open.service, open.backendVersion);
    this.#noteServerStart();
    const roll = this.dependencies.random.next();
    const reason =
      this.#reasonByState(open, roll) ??
      (signal.aborted ? RefusalReason.Cancelled : this.#reasonByDeadline(open, deadlineAtMs));
    if (reason !== undefined) return this.#refuse(reason);
    if (this.#running.size < this.#slotsNow() && this.mechanisms.queue.size === 0) {
      return this.#permit(open);
    }
    return this.#enqueue(open, roll, deadlineAtMs, signal);
  }

  /** Evaluates the slots, refuses waiting calls that lost their chance and starts others. */
  run(): void {
    this.#noteServerStart();
    this.mechanisms.limiter.step(this.#slots(), this.#running);
    this.mechanisms.attemptDeduplicator.sweep();
    for (const call of this.mechanisms.queue.all()) {
      const reason = this.#reasonNow(call);
      if (reason !== undefined) {
        this.mechanisms.queue.remove(call);
        call.settle(this.#refuse(reason));
      }
    }
    this.#startWaiting();
  }

  #slots(): number {
    const service = this.dependencies.ownServer()?.service;
    const section =
      service === undefined
        ? undefined
        : this.dependencies.snapshot.current()?.services.get(service);
    return section?.service.slots ?? 1;
  }

  #slotsNow(): number {
    return this.mechanisms.limiter.slotsNow(this.#slots());
  }

  #noteServerStart(): void {
    const startedAtMs = this.dependencies.ownServer()?.startedAtMs;
    if (startedAtMs === undefined || startedAtMs === this.#serverStartedAtMs) return;
    this.#serverStartedAtMs = startedAtMs;
    this.mechanisms.limiter.beginColdStart();
  }

  #reasonByState(open: CallOpen, roll: number): RefusalReason | undefined {
    const { snapshot, dataCentre, incarnation } = this.dependencies;
    const current = snapshot.current();
    if (!current) return RefusalReason.NotReady;
    if (!snapshot.isServing()) return RefusalReason.StaleView;
    if (open.attempt.receiverIncarnation !== incarnation) return RefusalReason.WrongIncarnation;
    const server = this.dependencies.ownServer();
    if (!server) return RefusalReason.NotReady;
    if (server.isDraining) return RefusalReason.Draining;
    if (server.service !== open.service || server.backendVersion !== open.backendVersion) {
      return RefusalReason.WrongVersion;
    }
    const intent = current.mesh.dataCentres.find(({ name }) => name === dataCentre);
    if (intent?.state !== DataCentreState.InService && this.mechanisms.refusesWhenEvacuated) {
      return RefusalReason.DataCentreEvacuated;
    }
    return this.mechanisms.guard.reasonToRefuse(open.service, open.backendVersion, roll);
  }

  #reasonByDeadline(open: CallOpen, deadlineAtMs: number): RefusalReason | undefined {
    const leftMs = deadlineAtMs - monotonicNowMs();
    if (leftMs <= 0) return RefusalReason.DeadlinePassed;
    const { queue, estimator: estimate } = this.mechanisms;
    const isFull = this.#running.size >= this.#slotsNow();
    const waitMs = isFull
      ? ((queue.countAhead(open.priority) + 1) * estimate.meanMs()) / this.#slotsNow()
      : 0;
    const isHopeless = waitMs + estimate.expectedMs(open.route) > leftMs;
    return isHopeless ? RefusalReason.DeadlineUnreachable : undefined;
  }

  /** Reason that came up while a call waited. */
  #reasonNow(call: QueuedCall): RefusalReason | undefined {
    const leftMs = call.deadlineAtMs - monotonicNowMs();
    if (leftMs <= 0) return RefusalReason.DeadlinePassed;
    if (leftMs < this.mechanisms.estimator.expectedMs(call.route)) {
      return RefusalReason.DeadlineUnreachable;
    }
    return this.#reasonByState(call.open, call.uniformSample);
  }

  #enqueue(
    open: CallOpen,
    roll: number,
    deadlineAtMs: number,
    signal: CancelSignal,
  ): Promise<AdmissionResult> {
    const { queue } = this.mechanisms;
    return new Promise((resolve) => {
      let stopListening = (): void => undefined;
      const call: QueuedCall = {
        open,
        uniformSample: roll,
        priority: open.priority,
        route: open.route,
        isIdempotent: open.isIdempotent,
        deadlineAtMs,
        settle: (result) => {
          stopListening();
          resolve(result);
        },
      };
      const onAbort = (): void => {
        queue.remove(call);
        call.settle(this.#refuse(RefusalReason.Cancelled));
      };
      stopListening = () => signal.removeEventListener('abort', onAbort);
      signal.addEventListener('abort', onAbort);
      const sizeMax = Math.max(queueMin, queuedCallsPerSlotMax * this.#slotsNow());
      const dropped = queue.push(call, sizeMax);
      dropped?.settle(this.#refuse(RefusalReason.QueueFull));
      // Slots may have become free since the last tick.
      this.#startWaiting();
    });
  }

  #startWaiting(): void {
    const { queue } = this.mechanisms;
    while (queue.size > 0 && this.#running.size < this.#slotsNow()) {
      const call = queue.shift();
      if (!call) return;
      const reason = this.#reasonNow(call);
      call.settle(reason === undefined ? this.#permit(call.open) : this.#refuse(reason));
    }
  }

  #permit(open: CallOpen): AdmissionResult {
    const running = { route: open.route, startedAtMs: monotonicNowMs() };
    this.#running.add(running);
    return {
      kind: 'permit',
      permit: {
        release: ({ hasFailed, latencyMs }) => {
          if (!this.#running.delete(running)) return;
          this.mechanisms.limiter.recordEnded({ route: open.route, hasFailed, latencyMs });
          if (!hasFailed) this.mechanisms.estimator.record(open.route, latencyMs);
          this.#startWaiting();
        },
      },
    };
  }

  #refuse(
    reason: RefusalReason,
    outcome: RefusalOutcome = RefusalOutcome.NotRun,
  ): { readonly kind: 'refusal'; readonly refusal: CallRefusal } {
    this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1);
    const server = this.dependencies.ownServer();
    if (reason === RefusalReason.VersionOverShare && server) {
      this.dependencies.observation?.recordOverShare(server.service, server.backendVersion);
    }
    const { runningCalls, queuedCalls, slotsNow } = this.load();
    const detail = `${runningCalls} of ${slotsNow} slots in use, ${queuedCalls} waiting`;
    return { kind: 'refusal', refusal: { outcome, reason, detail, load: this.load() } };
  }
}
