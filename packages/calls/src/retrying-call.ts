import { monotonicNowMs } from '@sequoiafield/tables';
import {
  RefusalOutcome,
  RefusalReason,
  type CallAnswer,
  type CallOpen,
  type CallRefusal,
  type CallResult,
  type CancelSignal,
  type MemberRow,
  type RouteMatch,
} from '@sequoiafield/types';
import { BodyChannel } from '@sequoiafield/transport';
import type { CallProxyOptions } from './call-proxy-options.js';
import type { CallCounters } from './call-counters.js';
import type { HeaderPair } from './call-protocol.js';
import { nonRetryableReasons, hasReachedServer } from './reached-server-retry-policy.js';
import { createNotRunRefusal, toRefusalResult, createUnknownOutcomeRefusal } from './refusals.js';
import type { RequestBody } from './request-body.js';
import type { RetryPolicy } from './retry-policy.js';

/** One inbound call, as read from its caller. */
export interface RoutedRequest {
  readonly requestId: string;
  readonly match: RouteMatch;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly HeaderPair[];
  readonly body: RequestBody;
  readonly configVersion: number;
  readonly deadlineAtMs: number;
}

const statusServerError = 500;
/** Hint where no node knows a time; a refused member is asked again after about as long. */
const retryAfterDefaultMs = 100;
/** Above every share, so that it chooses the old version of a move even at 100 %. */
const rollOfOldVersion = 1;

/** Attempts of one call, one after the other, until one answers or no other may follow. */
export class RetryingCall {
  readonly #tried = new Set<string>();

  readonly #refusedVersions = new Set<string>();

  #sentToServers = 0;

  /** Failed answer of an idempotent call that another backend server is asked for. */
  #failedAnswer: CallAnswer | undefined;

  #attempts = 0;

  #unknown: CallRefusal | undefined;

  /** Version that was chosen last. */
  #version = '';

  /** Places the call among those of a move, once, so that its attempts do not raise a version's share. */
  readonly #roll: number;

  /** Latest refusal of a member, which says more than that no other member is left. */
  #lastRefusal: CallRefusal | undefined;

  constructor(
    private readonly call: RoutedRequest,
    private readonly options: CallProxyOptions,
    private readonly policy: RetryPolicy,
    private readonly counters: CallCounters,
    private readonly signal: CancelSignal,
  ) {
    this.#roll = options.random.next();
  }

  /** Result of the call; a refusal says "not run" only if that is true of every attempt. */
  async run(): Promise<CallResult> {
    const { match } = this.call;
    this.options.router.recordFirstAttempt(match.service.name);
    for (;;) {
      const result = await this.#attempt();
      if (!result) return this.#giveUp(this.#lastRefusal ?? this.#noMember());
      if (result.kind === 'answer') {
        this.#sentToServers += 1;
        if (!this.#mayRepeat(result.answer)) return result;
        this.#failedAnswer = result.answer;
        // A call that failed on the new version of a move is better off with the old one.
        if (this.#version !== this.#oldVersion()) this.#refusedVersions.add(this.#version);
      } else {
        const { refusal } = result;
        if (hasReachedServer(refusal.outcome, refusal.reason)) this.#sentToServers += 1;
        if (refusal.outcome === RefusalOutcome.Unknown) this.#unknown = refusal;
        this.#lastRefusal = refusal;
        if (!this.#mayRetry(refusal)) return this.#giveUp(refusal);
      }
      this.counters.retries += 1;
    }
  }

  /** Ids of the members that were asked. */
  get memberIds(): readonly string[] {
    return [...this.#tried];
  }

  get sentToServers(): number {
    return this.#sentToServers;
  }

  #giveUp(refusal: CallRefusal): CallResult {
    if (this.#failedAnswer) return { kind: 'answer', answer: this.#failedAnswer };
    return toRefusalResult(this.#unknown ?? this.#withHint(refusal));
  }

  /** Tells the caller when to come back, spread so that refused callers do not return together. */
  #withHint(refusal: CallRefusal): CallRefusal {
    if (nonRetryableReasons.has(refusal.reason)) return refusal;
    const retryAfterMs = refusal.retryAfterMs ?? retryAfterDefaultMs;
    return { ...refusal, retryAfterMs: retryAfterMs * (0.5 + this.options.random.next()) };
  }

  #mayRepeat(answer: CallAnswer): boolean {
    const { match, body, deadlineAtMs } = this.call;
    if (this.signal.aborted || deadlineAtMs <= monotonicNowMs()) return false;
    return this.policy.mayRetryAfterAnswer({
      route: match.route,
      status: answer.status,
      attemptsSoFar: this.#attempts,
      sentToServers: this.#sentToServers,
      isReplayable: !(body instanceof BodyChannel),
      takeBudget: () => this.#takeBudget(),
    });
  }

  #takeBudget(): boolean {
    const { route, service } = this.call.match;
    return this.options.router.takeRetry(service.name, route.retryBudgetPercent);
  }

  #mayRetry(refusal: CallRefusal): boolean {
    const { match, body, deadlineAtMs } = this.call;
    if (this.signal.aborted || deadlineAtMs <= monotonicNowMs()) return false;
    return this.policy.mayRetry({
      route: match.route,
      refusal,
      attemptsSoFar: this.#attempts,
      sentToServers: this.#sentToServers,
      isReplayable: !(body instanceof BodyChannel),
      takeBudget: () => this.#takeBudget(),
    });
  }

  #chooseVersion(): string {
    const { service } = this.call.match;
    const version = this.options.rollout.chooseVersion(service.name, this.#roll);
    if (version === undefined) return service.stableVersion;
    // A version that refused this call once is not asked a second time. The old version of the move
    // is not the stable one of the configuration where an earlier move is done but not written down.
    if (!this.#refusedVersions.has(version)) return version;
    const oldVersion = this.#oldVersion();
    const isOldLeft = oldVersion !== undefined && !this.#refusedVersions.has(oldVersion);
    return isOldLeft ? oldVersion : service.stableVersion;
  }

  #oldVersion(): string | undefined {
    return this.options.rollout.chooseVersion(this.call.match.service.name, rollOfOldVersion);
  }

  /** Result of one more member, or undefined if none is left. */
  async #attempt(): Promise<CallResult | undefined> {
    const { router } = this.options;
    const { route, service } = this.call.match;
    let version = this.#chooseVersion();
    this.#version = version;
    let member = router.choose(service.name, version, this.#tried, route.name);
    if (!member) {
      // Only from the new version to the old one, since the other way would raise the new one's share.
      const oldVersion = this.#oldVersion();
      if (oldVersion === undefined || oldVersion === version) return undefined;
      version = oldVersion;
      member = router.choose(service.name, version, this.#tried, route.name);
      if (!member) return undefined;
    }
    this.#version = version;
    this.#attempts += 1;
    this.#tried.add(member.id);
    router.begin(member.id);
    const startedAtMs = monotonicNowMs();
    const result = await this.#send(member, this.#open(member, version));
    if (result.kind === 'answer') return this.#onAnswer(result.answer, member, startedAtMs);
    return this.#onRefusal(result.refusal, member, version, startedAtMs);
  }

  /** Refusal of a call that no member was asked for. */
  #noMember(): CallRefusal {
    const { route, service } = this.call.match;
    const retryAfterMs = this.options.router.retryAfterMs?.(
      service.name,
      this.#version,
      route.name,
    );
    const servers = `${service.name} ${this.#version}`;
    if (retryAfterMs === undefined) {
      return createNotRunRefusal(
        RefusalReason.NoBackendServer,
        `no backend server of ${servers} is known`,
      );
    }
    const detail = `all backend servers of ${servers} refused calls of the route just now`;
    return { ...createNotRunRefusal(RefusalReason.QueueFull, detail), retryAfterMs };
  }

  #open(member: MemberRow, backendVersion: string): CallOpen {
    const { call, options } = this;
    const { route, service } = call.match;
    return {
      requestId: call.requestId,
      attempt: {
        senderId: options.self.id,
        senderIncarnation: options.self.incarnation,
        sequence: options.sequence.next(),
        receiverIncarnation: member.incarnation,
      },
      service: service.name,
      callerService: options.callerService?.() ?? '',
      route: route.name,
      backendVersion,
      configVersion: call.configVersion,
      priority: service.priority,
      isIdempotent: route.isIdempotent,
      deadlineAtMs: call.deadlineAtMs,
      method: call.method,
      path: call.path,
      headers: call.headers,
    };
  }

  #send(member: MemberRow, open: CallOpen): Promise<CallResult> {
    const { body } = this.call;
    if (member.id !== this.options.self.id) {
      this.counters.attemptsLinked += 1;
      return this.options.sender.send(member, open, body, this.signal);
    }
    this.counters.attemptsDirect += 1;
    const stream = body instanceof BodyChannel ? body : BodyChannel.of(body);
    return this.options.receiver.receive(open, stream, this.signal);
  }

  #onAnswer(answer: CallAnswer, member: MemberRow, startedAtMs: number): CallResult {
    const { route, service } = this.call.match;
    const bodyBytes = this.#bodyBytes(answer);
    this.options.router.report({
      memberId: member.id,
      service: service.name,
      route: route.name,
      ...(bodyBytes === undefined ? {} : { bodyBytes }),
      hasFailed: answer.status >= statusServerError,
      latencyMs: monotonicNowMs() - startedAtMs,
      load: answer.load,
    });
    return { kind: 'answer', answer };
  }

  /** Bytes of both bodies, or undefined if either is a stream. */
  #bodyBytes(answer: CallAnswer): number | undefined {
    const { body } = this.call;
    const answered = answer.headers.find(([name]) => name === 'content-length')?.[1];
    if (answered === undefined || body instanceof BodyChannel) return undefined;
    return (body?.byteLength ?? 0) + Number(answered);
  }

  #onRefusal(
    received: CallRefusal,
    member: MemberRow,
    version: string,
    startedAtMs: number,
  ): CallResult {
    const { route, service } = this.call.match;
    const nowMs = monotonicNowMs();
    const isTimeout =
      received.reason === RefusalReason.Cancelled && nowMs >= this.call.deadlineAtMs;
    const refusal = isTimeout ? this.#asTimeout(received) : received;
    const isUnknown = refusal.outcome === RefusalOutcome.Unknown;
    if (isUnknown && refusal.reason === RefusalReason.DeadlinePassed) {
      this.options.evidence.recordUnanswered(service.name, route.name, version, member.id);
    }
    if (
      refusal.reason === RefusalReason.VersionOverShare ||
      refusal.reason === RefusalReason.VersionRolledBack
    ) {
      this.#refusedVersions.add(version);
    }
    this.options.router.report({
      memberId: member.id,
      service: service.name,
      hasFailed:
        (isUnknown && refusal.reason !== RefusalReason.Cancelled) ||
        refusal.reason === RefusalReason.ConnectFailed,
      latencyMs: nowMs - startedAtMs,
      route: route.name,
      refusalReason: refusal.reason,
      ...(refusal.retryAfterMs === undefined ? {} : { retryAfterMs: refusal.retryAfterMs }),
      ...(refusal.load ? { load: refusal.load } : {}),
    });
    return toRefusalResult(refusal);
  }

  #asTimeout(refusal: CallRefusal): CallRefusal {
    const detail = 'the deadline passed before an answer came';
    const late = createUnknownOutcomeRefusal(RefusalReason.DeadlinePassed, detail);
    return { ...late, outcome: refusal.outcome };
  }
}
