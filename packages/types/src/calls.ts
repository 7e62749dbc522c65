import type { LinkRequestKind, Priority, RefusalOutcome, RefusalReason } from './enums.js';
import type { MemberAnnouncement } from './members.js';

/** Identifies one try of a call on one incarnation of one receiving node. */
export interface AttemptId {
  readonly senderId: string;
  readonly senderIncarnation: number;
  /** Counter of the sender, never used twice within an incarnation. */
  readonly sequence: number;
  readonly receiverIncarnation: number;
}

/** Head of a call on a link. */
export interface CallOpen {
  readonly requestId: string;
  readonly attempt: AttemptId;
  readonly service: string;
  /** Service of the machine at which the call began; empty if unknown. */
  readonly callerService?: string;
  readonly route: string;
  /** Backend version that the sender chose. */
  readonly backendVersion: string;
  /** Configuration version that the sender chose under. */
  readonly configVersion: number;
  readonly priority: Priority;
  readonly isIdempotent: boolean;
  /** Deadline on the sender's monotonic clock; the link converts it to the receiver's. */
  readonly deadlineAtMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
}

/** Load that a receiving node reports with each answer or refusal. */
export interface LoadReport {
  readonly runningCalls: number;
  readonly queuedCalls: number;
  /** Calls that it now runs at a time; below the service's slots while its server is cold. */
  readonly slotsNow: number;
  /** Mean time that its server took for a call lately; 0 or left out if unknown. */
  readonly meanServiceMs?: number;
  /** Share of calls that its server failed or shed lately, 0 to 1; left out if unknown. */
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
  /** Time after which another try has a chance, as far as the refusing node knows. */
  readonly retryAfterMs?: number;
}

/**
 * Tells that a call was cancelled. An `AbortSignal` is one; nodes use a cheaper class, since making
 * and observing an `AbortSignal` took 6 % of the processor time of a call.
 */
export interface CancelSignal {
  readonly aborted: boolean;
  /** Why, once it is aborted. */
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

/** Sending side of the links: one attempt on one member. */
export interface CallSender {
  send(
    member: MemberAnnouncement,
    open: CallOpen,
    body: AsyncIterable<Uint8Array> | Uint8Array | undefined,
    signal: CancelSignal,
  ): Promise<CallResult>;
}

/** Request and answer over a link, for bulk exchange between nodes. */
export interface LinkRequester {
  request(
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown>;
  /** Registers the one handler of a kind; what it returns is the answer. */
  handle(
    kind: LinkRequestKind,
    handler: (body: unknown, fromId: string) => unknown | Promise<unknown>,
  ): void;
}
