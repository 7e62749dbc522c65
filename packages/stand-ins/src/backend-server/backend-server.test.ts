import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { request } from 'undici';
import { SeededRandom } from '@sequoiafield/tables';
import { deadlineHeader, requestIdHeader } from '@sequoiafield/types';
import { matchSnapshot } from '@sequoiafield/test-kit';
import {
  BackendServer,
  buildAnswerBody,
  defaultBehaviour,
  EndpointAccuracy,
  CallFaultKind,
  findAnswerProblem,
  findViolations,
  sha256Hex,
  Ledger,
  RequestOutcome,
  type BehaviourChange,
  type OutcomeRecord,
} from '../index.js';
import { refusedHeader } from './backend-server.js';

const identity = { serverId: 'b1', service: 'settlement', backendVersion: 'v1' };
const server = new BackendServer(
  identity,
  { ...defaultBehaviour, serviceTimeMs: 1 },
  new Ledger(),
  new SeededRandom(1),
);
const url = `http://127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
after(() => server.close());

const send = async (
  requestId: string,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<string> => {
  try {
    const answer = await request(`${url}/settle/1`, {
      method: 'POST',
      headers: { [requestIdHeader]: requestId, ...headers },
      body: 'bill',
      signal,
    });
    const text = await answer.body.text();
    const sent = { requestId, method: 'POST', path: '/settle/1', body: 'bill' };
    const problem = answer.statusCode === 200 ? findAnswerProblem(text, sent) : undefined;
    return [answer.statusCode, answer.headers[refusedHeader], problem].filter(Boolean).join(' ');
  } catch {
    return 'no answer';
  }
};

const waitUntilRunning = async (count: number): Promise<void> => {
  for (;;) {
    const { body } = await request(`${url}/-/control`);
    if (((await body.json()) as { runningCalls: number }).runningCalls === count) return;
  }
};

const createFaultChange = (change: NonNullable<BehaviourChange['fault']>): BehaviourChange => ({
  fault: change,
});

test('each behaviour is visible in the answer and in the ledger', async () => {
  // Guards against a fault that is set but has no effect, and against a ledger that counts shed
  // calls as starts.
  const results: Record<string, string> = {};
  const observe = async (
    name: string,
    change: BehaviourChange,
    headers: Record<string, string> = {},
  ): Promise<void> => {
    const completeFault = { ...defaultBehaviour.fault, ...change.fault };
    await server.changeBehaviour({ shedAtRunning: 0, ...change, fault: completeFault });
    results[name] = await send(name, headers);
  };
  await observe('good', {});
  await observe('fails', createFaultChange({ kind: CallFaultKind.Fail }));
  await observe(
    'fails on another route',
    createFaultChange({ kind: CallFaultKind.Fail, pathPrefix: '/other' }),
  );
  await observe(
    'fails after an hour',
    createFaultChange({ kind: CallFaultKind.Fail, afterS: 3600 }),
  );
  await observe(
    'fails under load',
    createFaultChange({ kind: CallFaultKind.Fail, runningAtLeast: 2 }),
  );
  await observe('closes', createFaultChange({ kind: CallFaultKind.Close }));
  await observe(
    'passes its deadline',
    createFaultChange({ kind: CallFaultKind.Slow, slowMs: 1000 }),
    {
      [deadlineHeader]: '20',
    },
  );
  await server.changeBehaviour({ fault: { ...defaultBehaviour.fault, kind: CallFaultKind.Hang } });
  const cancellation = new AbortController();
  const hanging = send('hangs', {}, cancellation.signal);
  await waitUntilRunning(1);
  await observe('sheds', { shedAtRunning: 1 });
  cancellation.abort();
  results.hangs = await hanging;
  await waitUntilRunning(0);
  const { body } = await request(`${url}/-/ledger`);
  const { entries } = (await body.json()) as { entries: Record<string, object> };
  matchSnapshot(import.meta.filename, 'behaviours', { results, entries });
});

test('a behaviour change with an unknown key is rejected', async () => {
  // Guards against a test that misspells a fault and so runs without it.
  await assert.rejects(
    server.changeBehaviour({ shedAt: 3 } as BehaviourChange),
    /additional properties/,
  );
});

test('health and load endpoints answer with the configured accuracy', async () => {
  // Guards against endpoints that answer correctly in a test that needs wrong answers.
  const read = async (path: string): Promise<string> => {
    const { statusCode, body } = await request(`${url}${path}`);
    return `${statusCode} ${await body.text()}`;
  };
  const responses: Record<string, string[]> = {};
  for (const accuracy of Object.values(EndpointAccuracy)) {
    await server.changeBehaviour({ health: accuracy, load: accuracy });
    responses[accuracy] = [await read('/-/health'), await read('/-/load')];
  }
  matchSnapshot(import.meta.filename, 'endpoints', responses);
});

test('each changed field of an answer is detected', () => {
  // Guards against a caller that accepts an answer that is cut off, changed or for another request.
  const sent = { requestId: 'r1', method: 'GET', path: '/a', body: '' };
  const answer = buildAnswerBody({ ...identity, ...sent, requestDigest: sha256Hex('') }, 100);
  assert.equal(findAnswerProblem(JSON.stringify(answer), sent), undefined);
  const texts = [
    JSON.stringify(answer).slice(0, -5),
    JSON.stringify({ ...answer, payload: answer.payload.slice(1) }),
    JSON.stringify({ ...answer, serverId: 'b2' }),
    JSON.stringify({ ...answer, requestId: 'r2' }),
    JSON.stringify({ ...answer, path: '/b' }),
    JSON.stringify({ ...answer, requestDigest: sha256Hex('other') }),
  ];
  matchSnapshot(
    import.meta.filename,
    'answer problems',
    texts.map((text) => findAnswerProblem(text, sent)),
  );
});

test('the ledger check finds each kind of violation', () => {
  // Guards against a ledger check that never finds a violation.
  const createRecord = (
    requestId: string,
    outcome: RequestOutcome,
    isIdempotent = false,
  ): OutcomeRecord => ({
    requestId,
    route: 'r',
    isIdempotent,
    outcome,
    status: 200,
    latencyMs: 1,
    detail: '',
  });
  const createEntry = (starts: number, finishes = starts): object => ({
    starts,
    finishes,
    sheds: 0,
  });
  const firstLedger = {
    twice: createEntry(1),
    refused: createEntry(1, 0),
    lookup: createEntry(2),
    good: createEntry(1),
  };
  const secondLedger = { twice: createEntry(1), unfinished: createEntry(1, 0) };
  const records = [
    createRecord('twice', RequestOutcome.Answered),
    createRecord('lookup', RequestOutcome.Answered, true),
    createRecord('refused', RequestOutcome.RefusedNotRun),
    createRecord('good', RequestOutcome.Answered),
    createRecord('unfinished', RequestOutcome.Answered),
    createRecord('unknown', RequestOutcome.RefusedUnknown),
    createRecord('wrong', RequestOutcome.WrongAnswer),
  ];
  const ledgers = [firstLedger, secondLedger] as Parameters<typeof findViolations>[1]['ledgers'];
  matchSnapshot(import.meta.filename, 'violations', {
    complete: findViolations(records, { ledgers, isComplete: true }),
    'without the second ledger': findViolations(records, {
      ledgers: [firstLedger] as typeof ledgers,
      isComplete: false,
    }),
  });
});
