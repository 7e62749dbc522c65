import { Packr } from 'msgpackr';
import type { AttemptId, CallAnswer, CallOpen, CallRefusal, LoadReport } from '@sequoiafield/types';
import { isAnswerStatus } from './answer-status.js';

type WireArray = readonly unknown[];
type Headers = readonly (readonly [string, string])[];

/** Plain MessagePack; the records extension needs state that both sides share. */
const packr = new Packr({ useRecords: false, moreTypes: true });

/** Encodes a value for a frame. */
export const encodeValue = (value: unknown): Buffer => packr.pack(value);

/** Decodes the payload of a frame. */
export const decodeValue = (payload: Buffer): unknown => packr.unpack(payload);

const flattenHeaders = (headers: Headers): string[] => {
  const flat: string[] = [];
  for (const [name, value] of headers) flat.push(name, value);
  return flat;
};

const pairHeaders = (flat: readonly string[]): [string, string][] => {
  const headers: [string, string][] = [];
  for (let index = 0; index + 1 < flat.length; index += 2) {
    headers.push([flat[index] as string, flat[index + 1] as string]);
  }
  return headers;
};

const loadToWire = (load: LoadReport | undefined): WireArray | null =>
  load
    ? [
        load.runningCalls,
        load.queuedCalls,
        load.slotsNow,
        load.meanServiceMs ?? 0,
        load.failureRatio ?? 0,
      ]
    : null;

const loadFromWire = (wire: unknown): LoadReport | undefined => {
  if (!Array.isArray(wire)) return undefined;
  const [runningCalls, queuedCalls, slotsNow, meanServiceMs, failureRatio] = wire as number[];
  return {
    runningCalls: runningCalls ?? 0,
    queuedCalls: queuedCalls ?? 0,
    slotsNow: slotsNow ?? 0,
    meanServiceMs: meanServiceMs ?? 0,
    failureRatio: failureRatio ?? 0,
  };
};

/**
 * Encodes the head of a call as an array, since field names would make up most of the bytes. `sentAtMs`
 * is the time on the sender's monotonic clock.
 */
export const encodeOpen = (open: CallOpen, sentAtMs: number): Buffer => {
  const wire = [
    open.requestId,
    open.attempt.senderId,
    open.attempt.senderIncarnation,
    open.attempt.receiverIncarnation,
    open.service,
    open.route,
    open.backendVersion,
    open.configVersion,
    open.priority,
    open.isIdempotent,
    open.deadlineAtMs,
    open.method,
    open.path,
    flattenHeaders(open.headers),
    open.callerService ?? '',
    sentAtMs,
    open.mayWait ?? true,
    open.account ?? null,
  ];
  // Older builds ignore what follows; it is left out where it would only cost bytes.
  if (open.answerDueAtMs !== undefined) wire.push(open.answerDueAtMs, open.mayBeLate ?? false);
  return packr.pack(wire);
};

/** Head of a call as it arrived, with the time on the sender's clock at which it was written. */
export interface ReceivedOpen {
  readonly open: CallOpen;
  /** Undefined if the sender does not state it. */
  readonly sentAtMs: number | undefined;
}

/** Decodes the head of a call; `sequence` is the id of its frame. */
export const decodeOpen = (sequence: number, payload: Buffer): ReceivedOpen => {
  const wire = packr.unpack(payload);
  const attempt: AttemptId = {
    senderId: wire[1],
    senderIncarnation: wire[2],
    sequence,
    receiverIncarnation: wire[3],
  };
  const open: CallOpen = {
    requestId: wire[0],
    attempt,
    service: wire[4],
    route: wire[5],
    backendVersion: wire[6],
    configVersion: wire[7],
    priority: wire[8],
    isIdempotent: wire[9],
    deadlineAtMs: wire[10],
    method: wire[11],
    path: wire[12],
    headers: pairHeaders(wire[13]),
    callerService: wire[14],
    mayWait: wire[16] !== false,
    ...(typeof wire[17] === 'string' && { account: wire[17] }),
    ...(typeof wire[18] === 'number' && { answerDueAtMs: wire[18], mayBeLate: wire[19] === true }),
  };
  return { open, sentAtMs: typeof wire[15] === 'number' ? wire[15] : undefined };
};

/** Head of an answer on the wire; the body follows in data frames. */
export type CallAnswerHead = Omit<CallAnswer, 'body'>;

export const encodeAnswer = (head: CallAnswerHead): Buffer =>
  packr.pack([head.status, flattenHeaders(head.headers), loadToWire(head.load)]);

/** Decodes the head of an answer; returns undefined if its status is none of an answer. */
export const decodeAnswer = (payload: Buffer): CallAnswerHead | undefined => {
  const wire = packr.unpack(payload);
  if (!isAnswerStatus(wire[0])) return undefined;
  return {
    status: wire[0],
    headers: pairHeaders(wire[1]),
    load: loadFromWire(wire[2]) ?? { runningCalls: 0, queuedCalls: 0, slotsNow: 0 },
  };
};

export const encodeRefusal = (refusal: CallRefusal): Buffer =>
  packr.pack([
    refusal.outcome,
    refusal.reason,
    refusal.detail,
    loadToWire(refusal.load),
    refusal.retryAfterMs ?? null,
  ]);

export const decodeRefusal = (payload: Buffer): CallRefusal => {
  const wire = packr.unpack(payload);
  const load = loadFromWire(wire[3]);
  return {
    outcome: wire[0],
    reason: wire[1],
    detail: wire[2],
    ...(load ? { load } : {}),
    ...(typeof wire[4] === 'number' ? { retryAfterMs: wire[4] } : {}),
  };
};
