import type { CallOpen, CallRefusal, CancelSignal } from '@sequoiafield/types';
import type { BodyChannel } from '@sequoiafield/transport';
import type { HeaderPair } from './call-protocol.js';

/** Head and body of a backend server's answer. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: BodyChannel;
}

/** Result of one request to this node's backend server. */
export type BackendResult =
  | { readonly kind: 'answer'; readonly answer: BackendAnswer }
  | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

/** How a request to the backend server ended, body included. */
export interface BackendRequestOutcome {
  /** True for failed answers, bodies and connections; false for refusals by the backend server. */
  readonly hasFailed: boolean;
  /**
   * False if nothing was written or the backend server reported that it did not run the request.
   */
  readonly hasRun: boolean;
  /** Whether the backend server reported that it did not run the request. */
  readonly wasShed: boolean;
  /** Status of the answer; 0 if there was none. */
  readonly status: number;
}

/** Sends requests to the backend server beside this node. */
export interface BackendClient {
  /**
   * Sends one request and aborts it after `remainingMs`; `onEnd` is called once, when the
   * connection no longer carries any part of it, and `onWritten` right before the request is first
   * written.
   */
  send(
    open: CallOpen,
    remainingMs: number,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    onEnd: (outcome: BackendRequestOutcome) => void,
    onWritten?: () => void,
  ): Promise<BackendResult>;
  close(): Promise<void>;
}
