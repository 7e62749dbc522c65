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

const fault = (change: NonNullable<BehaviourChange['fault']>): BehaviourChange => ({
  fault: change,
});

test('each behaviour shows in the answer and in the ledger', async () => {
  // Guards against stand-ins that hide a fault, and against ledgers that count sheds as starts.
  const results: Record<string, string> = {};
  const observe = async (
    name: string,
    change: BehaviourChange,
    headers: Record<string, string> = {},
  ): Promise<void> => {
    const whole = { ...defaultBehaviour.fault, ...change.fault };
    await server.changeBehaviour({ shedAtRunning: 0, ...change, fault: whole });
    results[name] = await send(name, headers);
  };
  await observe('good', {});
  await observe('fails', fault({ kind: CallFaultKind.Fail }));
  await observe(
    'fails on another route',
    fault({ kind: CallFaultKind.Fail, pathPrefix: '/other' }),
  );
  await observe('fails after an hour', fault({ kind: CallFaultKind.Fail, afterS: 3600 }));
  await observe('fails under load', fault({ kind: CallFaultKind.Fail, runningAtLeast: 2 }));
  await observe('closes', fault({ kind: CallFaultKind.Close }));
  await observe('passes its deadline', fault({ kind: CallFaultKind.Slow, slowMs: 1000 }), {
    [deadlineHeader]: '20',
  });
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

test('an unknown key of a behaviour is refused', async () => {
  // Guards against a test that believes it set a fault that it misspelt.
  await assert.rejects(
    server.changeBehaviour({ shedAt: 3 } as BehaviourChange),
    /additional properties/,
  );
});

test('endpoints lie as told', async () => {
  // Guards against health and load endpoints that a test believes to be wrong but are right.
  const ask = async (path: string): Promise<string> => {
    const { statusCode, body } = await request(`${url}${path}`);
    return `${statusCode} ${await body.text()}`;
  };
  const told: Record<string, string[]> = {};
  for (const honesty of Object.values(EndpointAccuracy)) {
    await server.changeBehaviour({ health: honesty, load: honesty });
    told[honesty] = [await ask('/-/health'), await ask('/-/load')];
  }
  matchSnapshot(import.meta.filename, 'endpoints', told);
});

test('each changed part of an answer is found', () => {
  // Guards against a caller that accepts cut, changed or crossed answers.
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

test('the check against the ledgers finds each kind of violation', () => {
  // Guards against a check that passes everything.
  const record = (
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
  const entry = (starts: number, finishes = starts): object => ({ starts, finishes, sheds: 0 });
  const first = { twice: entry(1), refused: entry(1, 0), lookup: entry(2), good: entry(1) };
  const second = { twice: entry(1), unfinished: entry(1, 0) };
  const records = [
    record('twice', RequestOutcome.Answered),
    record('lookup', RequestOutcome.Answered, true),
    record('refused', RequestOutcome.RefusedNotRun),
    record('good', RequestOutcome.Answered),
    record('unfinished', RequestOutcome.Answered),
    record('unknown', RequestOutcome.RefusedUnknown),
    record('wrong', RequestOutcome.WrongAnswer),
  ];
  const ledgers = [first, second] as Parameters<typeof findViolations>[1]['ledgers'];
  matchSnapshot(import.meta.filename, 'violations', {
    complete: findViolations(records, { ledgers, isComplete: true }),
    'without the second ledger': findViolations(records, {
      ledgers: [first] as typeof ledgers,
      isComplete: false,
    }),
  });
});
