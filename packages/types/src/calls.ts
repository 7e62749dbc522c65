import type { LinkRequestKind, Priority, RefusalOutcome, RefusalReason } from './enums.js';
import type { MemberAnnouncement } from './members.js';

/** Identifies one try of a call on one incarnation of one receiving node. */
export interface AttemptId {
  readonly senderId: string;
  readonly senderIncarnation: number;
  /** Counter value of the sender; a value is never reused within an incarnation. */
  readonly sequence: number;
  readonly receiverIncarnation: number;
}

/** Head of a call on a link. */
export interface CallOpen {
  readonly requestId: string;
  readonly attempt: AttemptId;
  readonly service: string;
  /** Service of the machine on which the call began; empty if unknown. */
  readonly callerService?: string;
  /** Client account whose key the request has; left out if it has none. */
  readonly account?: string;
  readonly route: string;
  /** Backend version that the sender chose. */
  readonly backendVersion: string;
  /** Configuration version that was active on the sender when it chose the backend version. */
  readonly configVersion: number;
  readonly priority: Priority;
  readonly isIdempotent: boolean;
  /** Deadline on the sender's monotonic clock; the link converts it to the receiver's. */
  readonly deadlineAtMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  /**
   * Time on the sender's monotonic clock at which the answer is due by the latency target, counted from
   * the caller's first attempt; left out if the receiver shall count the target from the arrival.
   */
  readonly answerDueAtMs?: number;
  /**
   * Whether the call may wait although its answer will be late; if not, a node with too long a queue for
   * `answerDueAtMs` refuses it, so that the sender can try another member.
   */
  readonly mayBeLate?: boolean;
  /**
   * Whether the call may wait for a slot; if false, a node without a free slot refuses it at once, so
   * that the sender can try another member. True if left out.
   */
  readonly mayWait?: boolean;
}

/** Load that a receiving node reports with each answer or refusal. */
export interface LoadReport {
  readonly runningCalls: number;
  readonly queuedCalls: number;
  /**
   * Calls that the node currently runs at a time; below the service's slots while its backend
   * server is cold.
   */
  readonly slotsNow: number;
  /** Mean time that the backend server recently took for a call; 0 or left out if unknown. */
  readonly meanServiceMs?: number;
  /** Share of recent calls that the backend server failed or shed, 0 to 1; left out if unknown. */
  readonly failureRatio?: number;
}

/** Complete answer of a call: status, headers and a body stream. */
export interface CallAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  readonly body: AsyncIterable<Uint8Array>;
  readonly load: LoadReport;
}

/** Refusal of a call, with what is known about whether it ran. */
export interface CallRefusal {
  readonly outcome: RefusalOutcome;
  readonly reason: RefusalReason;
  readonly detail: string;
  readonly load?: LoadReport;
  /** Time after which the refusing node expects that a retry can succeed; left out if unknown. */
  readonly retryAfterMs?: number;
}

/**
 * Signals that a call was cancelled. An `AbortSignal` has this interface; nodes use a cheaper class,
 * because creating and observing an `AbortSignal` costs 6 % of the processor time of a call.
 */
export interface CancelSignal {
  readonly aborted: boolean;
  /** Reason for the cancellation, once `aborted` is true. */
  readonly reason: unknown;
  addEventListener(type: 'abort', listener: (event: unknown) => void): void;
  removeEventListener(type: 'abort', listener: (event: unknown) => void): void;
}

/** Result of one attempt. */
export type CallResult =
  | { readonly kind: 'answer'; readonly answer: CallAnswer }
  | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

/** Receiving side of a link: runs a call that arrived. */
export interface CallReceiver {
  receive(
    open: CallOpen,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
  ): Promise<CallResult>;
}

/** Sending side of the links: sends one attempt of a call to one member. */
export interface CallSender {
  send(
    member: MemberAnnouncement,
    open: CallOpen,
    body: AsyncIterable<Uint8Array> | Uint8Array | undefined,
    signal: CancelSignal,
  ): Promise<CallResult>;
}

/**
 * Sends requests over links and registers handlers that answer them; for bulk exchange between
 * nodes.
 */
export interface LinkRequester {
  request(
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown>;
  /** Registers the only handler of a kind of request; its return value is the answer. */
  handle(
    kind: LinkRequestKind,
    handler: (body: unknown, fromId: string) => unknown | Promise<unknown>,
  ): void;
}
