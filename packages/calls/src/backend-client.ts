import type { CallOpen, CallRefusal, CancelSignal } from '@sequoiafield/types';
import type { BodyChannel } from '@sequoiafield/transport';
import type { HeaderPair } from './call-protocol.js';

/** Head and body of a backend server's answer. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
  readonly body: BodyChannel;
}

/** Result of one request to the own backend server. */
export type BackendResult =
  | { readonly kind: 'answer'; readonly answer: BackendAnswer }
  | { readonly kind: 'refusal'; readonly refusal: CallRefusal };

/** How a request to the backend server ended, body included. */
export interface BackendRequestOutcome {
  /** Failed answers, broken bodies and connections; not the backend server's own refusals. */
  readonly hasFailed: boolean;
  /** False if nothing was sent or the backend server refused it as not run. */
  readonly hasRun: boolean;
  /** The backend server refused it as not run. */
  readonly wasShed: boolean;
  /** Status of the answer; 0 if there was none. */
  readonly status: number;
}

/** Sends requests to the backend server beside this node. */
export interface BackendClient {
  /**
   * Runs one request and aborts it after `remainingMs`; `onEnd` is called once, when nothing of it is
   * left on the connection.
   */
  send(
    open: CallOpen,
    remainingMs: number,
    body: AsyncIterable<Uint8Array>,
    signal: CancelSignal,
    onEnd: (end: BackendRequestOutcome) => void,
  ): Promise<BackendResult>;
  close(): Promise<void>;
}
