import assert from 'node:assert/strict';
import { test } from 'node:test';
import { monotonicNowMs } from '@sequoiafield/tables';
import { sampleOpen } from '@sequoiafield/test-kit';
import { RefusalOutcome, RefusalReason } from '@sequoiafield/types';
import type { Dispatcher } from 'undici';
import { BackendExchange } from './backend-exchange.js';
import { DefaultCallProtocol } from './call-protocol.js';
import { WrittenFailureClassifier } from './failure-classifier.js';

/** Starts an exchange on an open connection; returns whether it was aborted before the write. */
const startExchange = (
  deadlineAtMs: number,
): { wasAborted: boolean; exchange: BackendExchange } => {
  const exchange = new BackendExchange(sampleOpen({ deadlineAtMs }), {
    classifier: new WrittenFailureClassifier(),
    protocol: new DefaultCallProtocol(),
    bufferedAnswerMaxBytes: 0,
  });
  let wasAborted = false;
  const controller: Partial<Dispatcher.DispatchController> = {
    abort: (error) => {
      wasAborted = true;
      exchange.onResponseError(controller as Dispatcher.DispatchController, error);
    },
  };
  exchange.onRequestStart(controller as Dispatcher.DispatchController);
  return { wasAborted, exchange };
};

test('a request is not written once its deadline has passed', async () => {
  // Guards against a late write by a node with too little processor time, whose connection opens
  // before it handles the deadline timer or the cancel.
  const { wasAborted, exchange } = startExchange(monotonicNowMs() - 1);
  assert.equal(wasAborted, true);
  const result = await exchange.result;
  assert.ok(result.kind === 'refusal');
  assert.equal(result.refusal.outcome, RefusalOutcome.NotRun);
  assert.equal(result.refusal.reason, RefusalReason.DeadlinePassed);
});

test('a request is written before its deadline', () => {
  // Guards against a deadline check that aborts requests with time left.
  assert.equal(startExchange(monotonicNowMs() + 1000).wasAborted, false);
});
