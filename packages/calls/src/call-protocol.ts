import {
  accountHeader,
  accountKeyHeader,
  deadlineHeader,
  outcomeHeader,
  reasonHeader,
  requestIdHeader,
  type CallOpen,
  type CallRefusal,
} from '@sequoiafield/types';
import { httpStatusOf } from './refusals.js';

/** Name and value of a header. */
export type HeaderPair = readonly [string, string];

/** Status and headers with which a refusal is sent to the caller. */
export interface RefusalHead {
  readonly status: number;
  readonly headers: readonly HeaderPair[];
}

/** Head of a backend server's answer. */
export interface BackendAnswerHead {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: readonly HeaderPair[];
}

/** How the head of an answer relates to the request on whose connection it was received. */
export enum AnswerKind {
  /** It is the answer to the request. */
  Answer = 'answer',
  /** The backend server reports that it did not run the request. */
  NotRun = 'not-run',
  /** The request did not run, because it names another server than the one at this address. */
  WrongServer = 'wrong-server',
  /** The answer belongs to another request or was not sent by a backend server. */
  Foreign = 'foreign',
}

/** Headers that callers, nodes and backend servers exchange about a call. */
export interface CallProtocol {
  readonly requestIdHeader: string;
  /** Header with the time that the caller still waits, in ms. */
  readonly deadlineHeader: string;
  /**
   * Header with the key of the caller's account, in lower case; left out if the protocol has no keys. It
   * is one of `nodeOnlyRequestHeaders`, so that no backend server and no other node gets a key.
   */
  readonly keyHeader?: string;
  /** Request headers that only nodes set or read; a caller's values are dropped. */
  readonly nodeOnlyRequestHeaders: ReadonlySet<string>;
  /** Answer headers that only nodes set; a backend server's values are dropped. */
  readonly nodeOnlyAnswerHeaders: ReadonlySet<string>;
  /**
   * Whether an answer without a length counts as complete after an orderly end of its connection.
   */
  readonly acceptsAnswersWithoutLength: boolean;
  /** Headers that the node beside the backend server adds; `serverId` is empty if it is unknown. */
  backendHeaders(open: CallOpen, remainingMs: number, serverId: string): readonly HeaderPair[];
  /** Classifies the head of an answer to the request with this id. */
  classifyAnswer(requestId: string, head: BackendAnswerHead): AnswerKind;
  /**
   * Whether a head names the request that it answers, so that `classifyAnswer` detects a copy of it
   * among the answers to other requests.
   */
  namesRequest(head: BackendAnswerHead): boolean;
  /** Returns the status and headers with which a refusal is sent to the caller. */
  refusalHead(refusal: CallRefusal): RefusalHead;
}

/** Header with which a backend server reports that it did not run a request. */
export const backendRefusedHeader = 'x-backend-refused';
/** The only meaningful value of `backendRefusedHeader`; other values are ignored. */
export const backendRefusedNotRun = 'not-run';

const serviceUnavailableStatus = 503;

/** Returns the value of a header, or undefined if it is absent. */
export const findHeader = (pairs: readonly HeaderPair[], name: string): string | undefined =>
  pairs.find(([other]) => other === name)?.[1];

/**
 * Returns a text as the value of a header: its UTF-8 bytes as Latin-1 text, since the HTTP client refuses
 * requests with other characters.
 *
 * @example
 * encodeHeaderText('caf\u00e9'); // 'caf\u00c3\u00a9'
 */
export const encodeHeaderText = (text: string): string =>
  Buffer.from(text, 'utf8').toString('latin1');

/**
 * Call protocol with the project's own headers.
 *
 * @example
 * const protocol = new DefaultCallProtocol();
 * protocol.refusalHead(refusal).status;
 */
export class DefaultCallProtocol implements CallProtocol {
  readonly requestIdHeader = requestIdHeader;

  readonly deadlineHeader = deadlineHeader;

  readonly keyHeader: string = accountKeyHeader;

  readonly acceptsAnswersWithoutLength: boolean = false;

  readonly nodeOnlyRequestHeaders: ReadonlySet<string> = new Set([
    accountKeyHeader,
    accountHeader,
    deadlineHeader,
    requestIdHeader,
    'host',
    'expect',
  ]);

  /**
   * Dropped from answers, because a backend server may forward a refusal that it received for a
   * call of its own. This node's caller would then wrongly conclude that its request did not run.
   */
  readonly nodeOnlyAnswerHeaders: ReadonlySet<string> = new Set([
    outcomeHeader,
    reasonHeader,
    requestIdHeader,
    backendRefusedHeader,
  ]);

  backendHeaders(open: CallOpen, remainingMs: number): readonly HeaderPair[] {
    return [
      [deadlineHeader, String(Math.max(1, Math.floor(remainingMs)))],
      [requestIdHeader, open.requestId],
      ...(open.account === undefined
        ? []
        : [[accountHeader, encodeHeaderText(open.account)] as const]),
    ];
  }

  classifyAnswer(_requestId: string, { status, headers }: BackendAnswerHead): AnswerKind {
    const isNotRun = findHeader(headers, backendRefusedHeader) === backendRefusedNotRun;
    return status === serviceUnavailableStatus && isNotRun ? AnswerKind.NotRun : AnswerKind.Answer;
  }

  /** Backend servers of this protocol echo no request id. */
  namesRequest(): boolean {
    return false;
  }

  refusalHead(refusal: CallRefusal): RefusalHead {
    return {
      status: httpStatusOf(refusal),
      headers: [
        [outcomeHeader, refusal.outcome],
        [reasonHeader, refusal.reason],
      ],
    };
  }
}
