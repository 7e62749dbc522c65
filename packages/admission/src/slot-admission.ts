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

/** Queued calls per slot at most; a longer queue only makes every call late. */
export const queuedCallsPerSlotMax = 2;
const queueCapacityMin = 4;

/** Queued call with the callback that settles it. */
export interface QueuedCall extends QueueEntry {
  readonly open: CallOpen;
  /** Drawn once per call; a new one at each check would refuse queued calls more often. */
  readonly uniformSample: number;
  settle(result: AdmissionResult): void;
}

/** Dependencies of `SlotAdmission`. */
export interface SlotAdmissionDependencies {
  readonly dataCentre: string;
  readonly incarnation: number;
  readonly snapshot: SnapshotView;
  readonly ownServer: () => OwnServer | undefined;
  readonly random: RandomSource;
  /** Records each call that arrives and each one that is refused over the share of its version. */
  readonly shareTracker: ShareTracker | undefined;
}

/**
 * Admits calls to the own backend server by slots and a short queue; see `createAdmission`. Each
 * refusal has the outcome "not run", except for a duplicate attempt, whose first copy may be running.
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
    this.dependencies.shareTracker?.recordOffered(open.service, open.backendVersion);
    this.#detectServerStart();
    const uniformSample = this.dependencies.random.next();
    const reason =
      this.#stateRefusalReason(open, uniformSample) ??
      (signal.aborted ? RefusalReason.Cancelled : this.#deadlineRefusalReason(open, deadlineAtMs));
    if (reason !== undefined) return this.#refuse(reason);
    if (this.#running.size < this.#slotsNow() && this.mechanisms.queue.size === 0) {
      return this.#permit(open);
    }
    return this.#enqueue(open, uniformSample, deadlineAtMs, signal);
  }

  /** Updates the slots, refuses queued calls that can no longer be admitted and starts others. */
  run(): void {
    this.#detectServerStart();
    this.mechanisms.limiter.step(this.#slots(), this.#running);
    this.mechanisms.attemptDeduplicator.sweep();
    for (const call of this.mechanisms.queue.all()) {
      const reason = this.#queuedRefusalReason(call);
      if (reason !== undefined) {
        this.mechanisms.queue.remove(call);
        call.settle(this.#refuse(reason));
      }
    }
    this.#startQueuedCalls();
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

  #detectServerStart(): void {
    const startedAtMs = this.dependencies.ownServer()?.startedAtMs;
    if (startedAtMs === undefined || startedAtMs === this.#serverStartedAtMs) return;
    this.#serverStartedAtMs = startedAtMs;
    this.mechanisms.limiter.beginColdStart();
  }

  #stateRefusalReason(open: CallOpen, uniformSample: number): RefusalReason | undefined {
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
    return this.mechanisms.guard.reasonToRefuse(open.service, open.backendVersion, uniformSample);
  }

  #deadlineRefusalReason(open: CallOpen, deadlineAtMs: number): RefusalReason | undefined {
    const remainingMs = deadlineAtMs - monotonicNowMs();
    if (remainingMs <= 0) return RefusalReason.DeadlinePassed;
    const { queue, estimator } = this.mechanisms;
    const isFull = this.#running.size >= this.#slotsNow();
    const waitMs = isFull
      ? ((queue.countAhead(open.priority) + 1) * estimator.meanMs()) / this.#slotsNow()
      : 0;
    const isUnreachable = waitMs + estimator.expectedMs(open.route) > remainingMs;
    return isUnreachable ? RefusalReason.DeadlineUnreachable : undefined;
  }

  /** Reason to refuse a call that arose while it was queued. */
  #queuedRefusalReason(call: QueuedCall): RefusalReason | undefined {
    const remainingMs = call.deadlineAtMs - monotonicNowMs();
    if (remainingMs <= 0) return RefusalReason.DeadlinePassed;
    if (remainingMs < this.mechanisms.estimator.expectedMs(call.route)) {
      return RefusalReason.DeadlineUnreachable;
    }
    return this.#stateRefusalReason(call.open, call.uniformSample);
  }

  #enqueue(
    open: CallOpen,
    uniformSample: number,
    deadlineAtMs: number,
    signal: CancelSignal,
  ): Promise<AdmissionResult> {
    const { queue } = this.mechanisms;
    return new Promise((resolve) => {
      let removeAbortListener = (): void => undefined;
      const call: QueuedCall = {
        open,
        uniformSample,
        priority: open.priority,
        route: open.route,
        isIdempotent: open.isIdempotent,
        deadlineAtMs,
        settle: (result) => {
          removeAbortListener();
          resolve(result);
        },
      };
      const onAbort = (): void => {
        queue.remove(call);
        call.settle(this.#refuse(RefusalReason.Cancelled));
      };
      removeAbortListener = () => signal.removeEventListener('abort', onAbort);
      signal.addEventListener('abort', onAbort);
      const sizeMax = Math.max(queueCapacityMin, queuedCallsPerSlotMax * this.#slotsNow());
      const dropped = queue.push(call, sizeMax);
      dropped?.settle(this.#refuse(RefusalReason.QueueFull));
      // Slots may have become free since the last tick.
      this.#startQueuedCalls();
    });
  }

  #startQueuedCalls(): void {
    const { queue } = this.mechanisms;
    while (queue.size > 0 && this.#running.size < this.#slotsNow()) {
      const call = queue.shift();
      if (!call) return;
      const reason = this.#queuedRefusalReason(call);
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
          this.#startQueuedCalls();
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
      this.dependencies.shareTracker?.recordOverShare(server.service, server.backendVersion);
    }
    const { runningCalls, queuedCalls, slotsNow } = this.load();
    const detail = `${runningCalls} of ${slotsNow} slots in use, ${queuedCalls} waiting`;
    return { kind: 'refusal', refusal: { outcome, reason, detail, load: this.load() } };
  }
}
