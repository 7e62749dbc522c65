import { monotonicNowMs } from '@sequoiafield/tables';
import {
  RefusalReason,
  type Admission,
  type CallAnswer,
  type CallOpen,
  type CallReceiver,
  type CallRefusal,
  type CallResult,
  type CancelSignal,
  type EvidenceRecorder,
  type MemberAnnouncement,
  type Permit,
  type RolloutView,
} from '@sequoiafield/types';
import type { BackendClient, BackendRequestOutcome } from './backend-client.js';
import { createBodyMemory, type BodyMemory } from './body-memory.js';
import { CallCounters } from './call-counters.js';
import { createNotRunRefusal, toRefusalResult, createUnknownOutcomeRefusal } from './refusals.js';
import { RunningCalls } from './running-calls.js';
import { ServerBodies } from './server-bodies.js';

/** Counts the requests of client accounts that the backend server runs. */
export interface UsageRecorder {
  /**
   * Counts a request that is about to be written. Returns the function to call if the backend server says
   * that it did not run it.
   */
  record(account: string): () => void;
}

/** Dependencies and options of a `BackendCallReceiver`. */
export interface CallReceiverOptions {
  /** This node; service and version are read for each call, since they are announced late. */
  readonly self: Pick<MemberAnnouncement, 'incarnation' | 'service' | 'backendVersion'>;
  readonly rollout: RolloutView;
  readonly admission: Admission;
  readonly evidence: EvidenceRecorder;
  readonly backend: BackendClient;
  readonly counters?: CallCounters;
  /** Unset if usage is not reported. */
  readonly usage?: UsageRecorder;
  /** Memory for bodies; a fixed one by default. */
  readonly bodyMemory?: BodyMemory;
  /** Called with the reason of each backend refusal: no connection, another server, or overload. */
  readonly onBackendRefusal?: (reason: RefusalReason) => void;
}

/**
 * Runs received calls on the backend server beside this node. Every check before the request is
 * written refuses with "not run"; after the write, only the backend server can refuse with it.
 *
 * @example
 * const receiver = new BackendCallReceiver({ self, rollout, admission, evidence, backend });
 * const transport = createTransport({ self, receiver, logger, random });
 */
export class BackendCallReceiver implements CallReceiver {
  readonly counters: CallCounters;

  readonly running = new RunningCalls();

  #isDraining = false;

  readonly #serverBodies: ServerBodies;

  constructor(private readonly options: CallReceiverOptions) {
    this.#serverBodies = new ServerBodies(options.bodyMemory ?? createBodyMemory());
    this.counters = options.counters ?? new CallCounters();
  }

  async receive(
    open: CallOpen,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
  ): Promise<CallResult> {
    const refusal = this.#checkOnArrival(open);
    if (refusal) return this.#refuse(refusal);
    const finish = this.running.begin(open.requestId);
    if (this.#serverBodies.isLarge(open)) return this.#receiveLarge(open, body, signal, finish);
    return this.#admitAndRun(open, body, signal, finish);
  }

  /** Receives a large body before its call is admitted, so that it takes no slot while it arrives. */
  async #receiveLarge(
    open: CallOpen,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    finish: () => void,
  ): Promise<CallResult> {
    const refusal = this.options.admission.refuseEarly?.(open);
    const received = refusal
      ? toRefusalResult(refusal)
      : await this.#serverBodies.receive(open, body);
    if (received.kind !== 'body') {
      finish();
      return received.kind === 'refusal' ? this.#refuse(received.refusal) : received;
    }
    const finishAll = (): void => {
      received.release();
      finish();
    };
    return this.#admitAndRun(open, received.body, signal, finishAll);
  }

  async #admitAndRun(
    open: CallOpen,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    finish: () => void,
  ): Promise<CallResult> {
    let isPermitTaken = false;
    try {
      const admission = await this.options.admission.admit(open, open.deadlineAtMs, signal);
      if (admission.kind === 'refusal') return this.#refuse(admission.refusal);
      isPermitTaken = true;
      return await this.#run(open, body, signal, admission.permit, finish);
    } finally {
      if (!isPermitTaken) finish();
    }
  }

  /** Refuses new calls from now on; running calls continue. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Accepts calls again, after the backend server has returned. */
  stopDraining(): void {
    this.#isDraining = false;
  }

  #checkOnArrival(open: CallOpen): CallRefusal | undefined {
    const { self, rollout } = this.options;
    if (this.#isDraining)
      return createNotRunRefusal(RefusalReason.Draining, 'the receiving node is stopping');
    if (open.attempt.receiverIncarnation !== self.incarnation) {
      return createNotRunRefusal(
        RefusalReason.WrongIncarnation,
        `this is incarnation ${self.incarnation}`,
      );
    }
    if (open.service !== self.service || open.backendVersion !== self.backendVersion) {
      const detail = `the backend server here is ${self.service} ${self.backendVersion}`;
      return createNotRunRefusal(RefusalReason.WrongVersion, detail);
    }
    if (open.deadlineAtMs <= monotonicNowMs()) {
      return createNotRunRefusal(
        RefusalReason.DeadlinePassed,
        'the deadline passed before the call arrived',
      );
    }
    if (!rollout.isAllowed(open.service, open.backendVersion)) {
      const detail = `version ${open.backendVersion} gets no new work`;
      return createNotRunRefusal(RefusalReason.VersionRolledBack, detail);
    }
    return undefined;
  }

  #refuse(refusal: CallRefusal): CallResult {
    return toRefusalResult({ ...refusal, load: refusal.load ?? this.options.admission.load() });
  }

  async #run(
    open: CallOpen,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    permit: Permit,
    finish: () => void,
  ): Promise<CallResult> {
    const startedAtMs = monotonicNowMs();
    const remainingMs = open.deadlineAtMs - startedAtMs;
    const refusal = this.#checkAfterQueue(open, remainingMs, signal);
    if (refusal) {
      permit.release({ hasFailed: false, latencyMs: 0 });
      finish();
      return this.#refuse(refusal);
    }
    this.counters.backendRequests += 1;
    let undoUsage: (() => void) | undefined;
    const onWritten = (): void => {
      if (open.account !== undefined) undoUsage = this.options.usage?.record(open.account);
    };
    const onEnd = (outcome: BackendRequestOutcome): void => {
      if (!outcome.hasRun) undoUsage?.();
      this.#recordEnd(open, outcome, startedAtMs, permit, signal.aborted);
      finish();
    };
    const { backend } = this.options;
    const result = await backend.send(open, remainingMs, body, signal, onEnd, onWritten);
    if (result.kind === 'refusal') {
      this.options.onBackendRefusal?.(result.refusal.reason);
      const isPastDeadline = open.deadlineAtMs <= monotonicNowMs();
      return this.#refuse(
        isPastDeadline ? this.#toDeadlineRefusal(result.refusal) : result.refusal,
      );
    }
    const answer: CallAnswer = { ...result.answer, load: this.options.admission.load() };
    return { kind: 'answer', answer };
  }

  /**
   * Refuses a call whose deadline passed, caller cancelled or version was rolled back in the queue.
   */
  #checkAfterQueue(
    open: CallOpen,
    remainingMs: number,
    signal: CancelSignal,
  ): CallRefusal | undefined {
    if (remainingMs <= 0) {
      return createNotRunRefusal(RefusalReason.DeadlinePassed, 'the deadline passed in the queue');
    }
    if (signal.aborted)
      return createNotRunRefusal(RefusalReason.Cancelled, 'cancelled in the queue');
    const { rollout } = this.options;
    if (rollout.isAllowed(open.service, open.backendVersion)) return undefined;
    return createNotRunRefusal(
      RefusalReason.VersionRolledBack,
      'the version was taken back meanwhile',
    );
  }

  #toDeadlineRefusal(refusal: CallRefusal): CallRefusal {
    if (refusal.reason !== RefusalReason.Cancelled) return refusal;
    const { outcome } = refusal;
    const timeout = createUnknownOutcomeRefusal(
      RefusalReason.DeadlinePassed,
      'the deadline passed',
    );
    return { ...timeout, outcome };
  }

  #recordEnd(
    open: CallOpen,
    outcome: BackendRequestOutcome,
    startedAtMs: number,
    permit: Permit,
    isCancelled: boolean,
  ): void {
    const nowMs = monotonicNowMs();
    const latencyMs = nowMs - startedAtMs;
    // A call that its caller cancelled before the deadline is no evidence about the backend server.
    const isCancelledByCaller = isCancelled && nowMs < open.deadlineAtMs;
    const hasFailed = outcome.hasFailed && !isCancelledByCaller;
    if (hasFailed) this.counters.backendFailures += 1;
    const { wasShed, status } = outcome;
    permit.release({ hasFailed, latencyMs, wasShed, wasAnswered: status > 0 });
    if (!outcome.hasRun || isCancelledByCaller) return;
    const { service, route, backendVersion } = open;
    this.options.evidence.recordEnded({
      ...{ service, route, backendVersion, hasFailed, latencyMs },
      status,
    });
  }
}
