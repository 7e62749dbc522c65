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
} from '@sequoiafield/types';
import { BodyChannel } from '@sequoiafield/transport';
import type { CallProxyOptions } from './call-proxy-options.js';
import type { CallCounters } from './call-counters.js';
import { findHeader } from './call-protocol.js';
import { CallLateness } from './call-lateness.js';
import { createOpen, type RoutedRequest } from './create-open.js';
import { nonRetryableReasons, hasReachedServer } from './reached-server-retry-policy.js';
import { createNotRunRefusal, toRefusalResult, createUnknownOutcomeRefusal } from './refusals.js';
import type { RetryPolicy } from './retry-policy.js';

const serverErrorStatusMin = 500;
/** Retry delay if a refusal has none; a member that refused is chosen again after about as long. */
const retryAfterDefaultMs = 100;
/**
 * Retry delay after a backend server shed a call and the retry budget is spent: other servers may have
 * room at once, and an answer within the latency target is still possible.
 */
const retryAfterShedMs = 20;
/**
 * Attempts of one call at members that may have a free slot and refuse the call if they have none.
 * A further attempt waits in the queue of the member with the shortest expected time.
 */
const unqueuedAttemptsMax = 2;
/** Larger than every share, so that it selects the old version of a move even at 100 %. */
const oldVersionRoll = 1;

/** Runs the attempts of one call in turn until one is answered or no further attempt is allowed. */
export class RetryingCall {
  /** Members that are not chosen again; one without a free slot may still queue the call. */
  readonly #triedMemberIds = new Set<string>();

  readonly #memberIds: string[] = [];

  #unqueuedAttempts = 0;

  readonly #lateness: CallLateness;

  readonly #refusedVersions = new Set<string>();

  #sentToServers = 0;

  /** Failed answer of an idempotent call that is retried on another backend server. */
  #failedAnswer: CallAnswer | undefined;

  #attemptCount = 0;

  #unknownRefusal: CallRefusal | undefined;

  /** Version of the latest attempt. */
  #version = '';

  /** Drawn once per call, so that retries during a move do not raise a version's share. */
  readonly #roll: number;

  /** Latest refusal of a member; returned if no member is left, since it is more specific. */
  #lastRefusal: CallRefusal | undefined;

  constructor(
    private readonly call: RoutedRequest,
    private readonly options: CallProxyOptions,
    private readonly policy: RetryPolicy,
    private readonly counters: CallCounters,
    private readonly signal: CancelSignal,
  ) {
    this.#roll = options.random.next();
    this.#lateness = new CallLateness(call.answerDueAtMs !== undefined, this.#triedMemberIds);
  }

  /**
   * Runs the call and returns its result; a refusal is "not run" only if no attempt may have run.
   */
  async run(): Promise<CallResult> {
    const { match } = this.call;
    this.options.router.recordFirstAttempt(match.service.name);
    for (;;) {
      const result = (await this.#attempt()) ?? (await this.#attemptLate());
      if (!result) return this.#finalResult(this.#lastRefusal ?? this.#createNoMemberRefusal());
      if (result.kind === 'answer') {
        this.#sentToServers += 1;
        await this.#discardFailedAnswer();
        if (!this.#mayRetryAfterAnswer(result.answer)) return result;
        this.#failedAnswer = result.answer;
        // A call that failed on the new version of a move is retried on the old version.
        if (this.#version !== this.#oldVersion()) this.#refusedVersions.add(this.#version);
      } else {
        const { refusal } = result;
        if (hasReachedServer(refusal.outcome, refusal.reason)) this.#sentToServers += 1;
        if (refusal.outcome === RefusalOutcome.Unknown) this.#unknownRefusal = refusal;
        this.#lastRefusal = refusal;
        if (!this.#mayRetryAfterRefusal(refusal)) return this.#finalResult(refusal);
      }
      this.counters.retries += 1;
    }
  }

  /** Lets the call wait at a member that was too full to answer it in time, if there is one. */
  async #attemptLate(): Promise<CallResult | undefined> {
    return this.#lateness.allow() ? this.#attempt() : undefined;
  }

  /** Ids of the members that were tried, in order. */
  get memberIds(): readonly string[] {
    return this.#memberIds;
  }

  /** Number of attempts that reached a backend server, or may have. */
  get sentToServers(): number {
    return this.#sentToServers;
  }

  async #discardFailedAnswer(): Promise<void> {
    const { body } = this.#failedAnswer ?? {};
    this.#failedAnswer = undefined;
    await body?.[Symbol.asyncIterator]().return?.();
  }

  #finalResult(refusal: CallRefusal): CallResult {
    if (this.#failedAnswer) return { kind: 'answer', answer: this.#failedAnswer };
    return toRefusalResult(this.#unknownRefusal ?? this.#withRetryAfter(refusal));
  }

  /** Adds a randomized retry delay, so that refused callers do not all retry at the same time. */
  #withRetryAfter(refusal: CallRefusal): CallRefusal {
    if (nonRetryableReasons.has(refusal.reason)) return refusal;
    const wasShed = refusal.reason === RefusalReason.BackendServerRefused;
    const isTimely = this.call.answerDueAtMs !== undefined;
    const defaultMs = wasShed && isTimely ? retryAfterShedMs : retryAfterDefaultMs;
    const retryAfterMs = refusal.retryAfterMs ?? defaultMs;
    return { ...refusal, retryAfterMs: retryAfterMs * (0.5 + this.options.random.next()) };
  }

  #mayRetryAfterAnswer(answer: CallAnswer): boolean {
    const { match, body, deadlineAtMs } = this.call;
    if (this.signal.aborted || deadlineAtMs <= monotonicNowMs()) return false;
    return this.policy.mayRetryAfterAnswer({
      route: match.route,
      status: answer.status,
      attemptsSoFar: this.#attemptCount,
      sentToServers: this.#sentToServers,
      isReplayable: !(body instanceof BodyChannel),
      takeBudget: () => this.#takeBudget(),
    });
  }

  #takeBudget(): boolean {
    const { route, service } = this.call.match;
    return this.options.router.takeRetry(service.name, route.retryBudgetPercent);
  }

  #mayRetryAfterRefusal(refusal: CallRefusal): boolean {
    const { match, body, deadlineAtMs } = this.call;
    if (this.signal.aborted || deadlineAtMs <= monotonicNowMs()) return false;
    return this.policy.mayRetry({
      route: match.route,
      refusal,
      attemptsSoFar: this.#attemptCount,
      sentToServers: this.#sentToServers,
      isReplayable: !(body instanceof BodyChannel),
      takeBudget: () => this.#takeBudget(),
    });
  }

  #chooseVersion(): string {
    const { service } = this.call.match;
    const version = this.options.rollout.chooseVersion(service.name, this.#roll);
    if (version === undefined) return service.stableVersion;
    // A version that refused this call is not chosen again. The old version of the move differs
    // from the configured stable version if an earlier move is done but not yet recorded there.
    if (!this.#refusedVersions.has(version)) return version;
    const oldVersion = this.#oldVersion();
    const isOldVersionAllowed = oldVersion !== undefined && !this.#refusedVersions.has(oldVersion);
    return isOldVersionAllowed ? oldVersion : service.stableVersion;
  }

  #oldVersion(): string | undefined {
    return this.options.rollout.chooseVersion(this.call.match.service.name, oldVersionRoll);
  }

  /** Sends the call to one more member; returns undefined if no member is left. */
  async #attempt(): Promise<CallResult | undefined> {
    const { router } = this.options;
    let version = this.#chooseVersion();
    this.#version = version;
    let member = this.#choose(version);
    if (!member) {
      // Falls back only to the old version; the reverse would raise the new version's share.
      const oldVersion = this.#oldVersion();
      if (oldVersion === undefined || oldVersion === version) return undefined;
      version = oldVersion;
      member = this.#choose(version);
      if (!member) return undefined;
    }
    this.#version = version;
    this.#attemptCount += 1;
    this.#triedMemberIds.add(member.id);
    this.#memberIds.push(member.id);
    const mayWait = this.#mayWaitAt(member);
    router.begin(member.id);
    const startedAtMs = monotonicNowMs();
    const { mayBeLate } = this.#lateness;
    const open = createOpen(this.call, this.options, member, version, { mayWait, mayBeLate });
    const result = await this.#send(member, open);
    if (result.kind === 'answer') return this.#onAnswer(result.answer, member, startedAtMs);
    return this.#onRefusal(result.refusal, member, version, startedAtMs);
  }

  #choose(version: string): MemberRow | undefined {
    const { route, service } = this.call.match;
    const { router } = this.options;
    return router.choose(
      service.name,
      version,
      this.#triedMemberIds,
      route.name,
      this.#lateness.mayBeLate,
    );
  }

  /**
   * Whether the call may wait for a slot of the member. The first attempts ask members that may have a
   * free slot not to queue the call, so that it finds a free slot elsewhere if they have none.
   */
  #mayWaitAt(member: MemberRow): boolean {
    const { router } = this.options;
    const hasFreeSlot = router.mayHaveFreeSlot?.(this.call.match.service.name, member) ?? false;
    const mayWait =
      !hasFreeSlot || this.#sentToServers > 0 || this.#unqueuedAttempts >= unqueuedAttemptsMax;
    if (!mayWait) this.#unqueuedAttempts += 1;
    return mayWait;
  }

  /** Creates the refusal of a call for which no member could be chosen. */
  #createNoMemberRefusal(): CallRefusal {
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
    const bodyBytes = this.#countBodyBytes(answer);
    this.options.router.report({
      memberId: member.id,
      service: service.name,
      route: route.name,
      ...(bodyBytes === undefined ? {} : { bodyBytes }),
      hasFailed: answer.status >= serverErrorStatusMin,
      latencyMs: monotonicNowMs() - startedAtMs,
      load: answer.load,
    });
    return { kind: 'answer', answer };
  }

  /** Bytes of both bodies, or undefined if the length of either is unknown. */
  #countBodyBytes(answer: CallAnswer): number | undefined {
    const { body, headers } = this.call;
    const answerLength = findHeader(answer.headers, 'content-length');
    const bodyLength =
      body instanceof BodyChannel ? findHeader(headers, 'content-length') : (body?.byteLength ?? 0);
    if (answerLength === undefined || bodyLength === undefined) return undefined;
    return Number(bodyLength) + Number(answerLength);
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
    const refusal = isTimeout ? this.#toTimeoutRefusal(received) : received;
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
    if (refusal.reason === RefusalReason.ServerBusy) {
      this.#triedMemberIds.delete(member.id);
      this.#attemptCount -= 1;
    }
    if (refusal.reason === RefusalReason.QueueFull) this.#lateness.recordFull(member.id);
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

  #toTimeoutRefusal(refusal: CallRefusal): CallRefusal {
    const detail = 'the deadline passed before an answer came';
    const timeout = createUnknownOutcomeRefusal(RefusalReason.DeadlinePassed, detail);
    return { ...timeout, outcome: refusal.outcome };
  }
}
