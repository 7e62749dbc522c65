import {
  deadlineHeader,
  outcomeHeader,
  reasonHeader,
  requestIdHeader,
  type CallOpen,
  type CallRefusal,
} from '@sequoiafield/types';
import { httpStatusOf } from './refusals.js';

/** Header and its value as they travel between nodes. */
export type HeaderPair = readonly [string, string];

/** Status and headers of a refusal as its caller reads them. */
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

/** What the head of an answer says about the request that it came for. */
export enum AnswerKind {
  /** It is the answer to the request. */
  Answer = 'answer',
  /** The backend server says that it did not run the request. */
  NotRun = 'not-run',
  /** The request named another server than the one at this address, and did not run. */
  WrongServer = 'wrong-server',
  /** It belongs to another request or is no answer of a backend server. */
  Foreign = 'foreign',
}

/** Headers with which callers, nodes and backend servers talk about a call. */
export interface CallProtocol {
  readonly requestIdHeader: string;
  /** Time that the caller still waits, in ms. */
  readonly deadlineHeader: string;
  /** Request headers that only nodes set; a caller's values are dropped. */
  readonly nodeOnlyRequestHeaders: ReadonlySet<string>;
  /** Answer headers that only nodes set; a backend server's values are dropped. */
  readonly nodeOnlyAnswerHeaders: ReadonlySet<string>;
  /** Whether an answer without a length is whole after an orderly end of its connection. */
  readonly acceptsAnswersWithoutLength: boolean;
  /** Headers that the node beside the backend server adds; `serverId` is empty if it is unknown. */
  backendHeaders(open: CallOpen, remainingMs: number, serverId: string): readonly HeaderPair[];
  classifyAnswer(requestId: string, head: BackendAnswerHead): AnswerKind;
  refusalHead(refusal: CallRefusal): RefusalHead;
}

/** Header with which a backend server says that it did not run a request. */
export const backendRefusedHeader = 'x-backend-refused';
/** Value of `backendRefusedHeader`; anything else says nothing. */
export const backendRefusedNotRun = 'not-run';

const statusUnavailable = 503;

/** Value of a header, or undefined. */
export const findHeader = (pairs: readonly HeaderPair[], name: string): string | undefined =>
  pairs.find(([other]) => other === name)?.[1];

/**
 * The project's own headers.
 *
 * @example
 * const protocol = new DefaultCallProtocol();
 * protocol.refusalHead(refusal).status;
 */
export class DefaultCallProtocol implements CallProtocol {
  readonly requestIdHeader = requestIdHeader;

  readonly deadlineHeader = deadlineHeader;

  readonly acceptsAnswersWithoutLength: boolean = false;

  readonly nodeOnlyRequestHeaders: ReadonlySet<string> = new Set([
    deadlineHeader,
    requestIdHeader,
    'host',
    'expect',
  ]);

  /**
   * A backend server that passes on a refusal of its own upstream must not make this node's caller
   * believe that its request did not run.
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
    ];
  }

  classifyAnswer(_requestId: string, { status, headers }: BackendAnswerHead): AnswerKind {
    const isNotRun = findHeader(headers, backendRefusedHeader) === backendRefusedNotRun;
    return status === statusUnavailable && isNotRun ? AnswerKind.NotRun : AnswerKind.Answer;
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
