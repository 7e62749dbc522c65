import { RefusalOutcome, type AdmissionResult, type CallOpen } from '@sequoiafield/types';
import type { SimulatedNode } from './simulated-node.js';
import type { EventScheduler } from './event-scheduler.js';
import type { ServiceWorkload } from './user-workloads.js';

/** Attempts per call, the first included. */
const attemptsMax = 3;
const retryBudgetPercent = 20;

/** Components of a run that its calls share. */
export interface SimulationContext {
  readonly schedule: EventScheduler;
  readonly nodes: ReadonlyMap<string, SimulatedNode>;
  /** One-way delay between two data centres; within one data centre it is a fifth of this. */
  readonly interDataCentreDelayMs: number;
}

/**
 * Sends one call through the router of its entry node and the admission of the chosen node. As in
 * the call path, it is retried only after the refusal outcome "not run" and within the retry
 * budget.
 *
 * @example
 * new SimulatedCall(context, entry, service, 'r-1', onEnd).start();
 */
export class SimulatedCall {
  readonly #triedNodeIds = new Set<string>();

  readonly #startedAtMs: number;

  #isEnded = false;

  constructor(
    private readonly context: SimulationContext,
    private readonly entry: SimulatedNode,
    private readonly service: ServiceWorkload,
    private readonly sequence: number,
    private readonly onEnd: (isAnswered: boolean, latencyMs: number) => void,
  ) {
    this.#startedAtMs = context.schedule.nowMs;
  }

  get #deadlineAtMs(): number {
    return this.#startedAtMs + this.service.deadlineMs;
  }

  start(): void {
    this.entry.routing.router.recordFirstAttempt(this.service.name);
    this.context.schedule.scheduleAfter(this.service.deadlineMs, () => this.#end(false));
    this.#attempt();
  }

  #attempt(): void {
    const { router } = this.entry.routing;
    const member = router.choose(this.service.name, 'v1', this.#triedNodeIds);
    const target = member && this.context.nodes.get(member.id);
    if (!target) {
      this.#end(false);
      return;
    }
    router.begin(target.row.id);
    const sentAtMs = this.context.schedule.nowMs;
    this.#triedNodeIds.add(target.row.id);
    this.#deliver(target, () => {
      target.admission.admission
        .admit(this.#createCallOpen(target), this.#deadlineAtMs, new AbortController().signal)
        .then((result) => this.#handleAdmission(target, result, sentAtMs))
        .catch((error: unknown) => {
          throw error;
        });
    });
  }

  #handleAdmission(target: SimulatedNode, result: AdmissionResult, sentAtMs: number): void {
    const { router } = this.entry.routing;
    const reportTarget = { memberId: target.row.id, service: this.service.name };
    if (result.kind === 'refusal') {
      const { reason, outcome, load } = result.refusal;
      this.#deliver(target, () => {
        const latencyMs = this.context.schedule.nowMs - sentAtMs;
        router.report({ ...reportTarget, hasFailed: true, latencyMs, refusalReason: reason, load });
        const mayRetry = outcome === RefusalOutcome.NotRun && this.#triedNodeIds.size < attemptsMax;
        if (this.#isEnded) return;
        if (mayRetry && router.takeRetry(this.service.name, retryBudgetPercent)) this.#attempt();
        else this.#end(false);
      });
      return;
    }
    target.server.startCall(`${this.service.name}-${this.sequence}`, (serverMs) => {
      result.permit.release({ hasFailed: false, latencyMs: serverMs });
      const load = target.admission.admission.load();
      this.#deliver(target, () => {
        const latencyMs = this.context.schedule.nowMs - sentAtMs;
        const hasFailed = this.context.schedule.nowMs > this.#deadlineAtMs;
        router.report({ ...reportTarget, hasFailed, latencyMs, load });
        this.#end(!hasFailed);
      });
    });
  }

  #end(isAnswered: boolean): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.onEnd(isAnswered, this.context.schedule.nowMs - this.#startedAtMs);
  }

  #deliver(target: SimulatedNode, event: () => void): void {
    const { interDataCentreDelayMs: delayMs, schedule } = this.context;
    const isSelf = target === this.entry;
    const isSameDataCentre = target.row.dataCentre === this.entry.row.dataCentre;
    if (isSelf) event();
    else schedule.scheduleAfter(isSameDataCentre ? delayMs / 5 : delayMs, event);
  }

  #createCallOpen(target: SimulatedNode): CallOpen {
    return {
      requestId: `${this.service.name}-${this.sequence}`,
      attempt: {
        senderId: this.entry.row.id,
        senderIncarnation: 1,
        sequence: this.sequence * attemptsMax + this.#triedNodeIds.size,
        receiverIncarnation: target.row.incarnation,
      },
      service: this.service.name,
      route: this.service.name,
      backendVersion: 'v1',
      configVersion: 1,
      priority: this.service.priority,
      isIdempotent: this.service.isIdempotent,
      deadlineAtMs: this.#deadlineAtMs,
      method: this.service.isIdempotent ? 'GET' : 'POST',
      path: '/',
      headers: [],
    };
  }
}
