import assert from 'node:assert/strict';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, beforeEach, test } from 'node:test';
import { StoreFault, MemoryStore, storeKeys, type StoreCall } from '@sequoiafield/store';
import { matchSnapshot } from '@sequoiafield/test-kit';
import { MoveVerdict } from '@sequoiafield/types';
import { addOperatorCommands, CommandLine, type CommandContext } from './index.js';

const serviceText = (slots: number): string =>
  `[service lager]\npriority = normal\nstable_version = v1\nslots = ${slots}\n` +
  'connections_max = 110\nfailure_limit_percent = 2\nlatency_limit_ms = 250\n' +
  '[data-centre sto-1]\nregion = norr\nstate = in\nramp_s = 30\n';
const moveText =
  '[move lager-v2]\nservice = lager\nfrom = v1\nto = v2\nunproven_cap_percent = 5\n' +
  'start_at = 2026-12-04T10:00:00Z\nfinish_by = 2026-12-04T10:10:00Z\n';

const token = 'secret';
let root = '';
let admin: Server;
let adminUrl = '';
/** Answers of the node by path; tests replace them. */
let answers: Record<string, unknown> = {};

before(async () => {
  root = await mkdtemp(join(tmpdir(), 'sequoiafield-'));
  const folders = {
    a: serviceText(10),
    b: serviceText(12),
    moved: serviceText(10) + moveText,
    bad: serviceText(0),
  };
  for (const [name, text] of Object.entries(folders)) {
    await mkdir(join(root, name));
    await writeFile(join(root, name, '10.ini'), text);
  }
  admin = createServer((request, response) => {
    const isAllowed = request.headers.authorization === `Bearer ${token}`;
    const answer = answers[request.url ?? ''];
    response.statusCode = answer === undefined ? 404 : 200;
    if (!isAllowed) response.statusCode = 401;
    response.end(JSON.stringify(answer ?? {}));
  });
  await new Promise<void>((resolve) => {
    admin.listen(0, '127.0.0.1', resolve);
  });
  adminUrl = `http://127.0.0.1:${(admin.address() as AddressInfo).port}`;
});
after(async () => {
  admin.closeAllConnections();
  admin.close();
  await rm(root, { recursive: true });
});

/** Runs commands of one operator on a store in memory; `run` returns the output and the status. */
class Operator implements CommandContext {
  readonly env: Record<string, string>;

  isTerminal = false;

  readonly #store: MemoryStore;

  #output = '';

  #operationCount = 0;

  readonly #name: string;

  constructor(
    store: MemoryStore,
    name = 'ada',
    env: Record<string, string> = { SEQUOIAFIELD_STORE_URL: 'http://127.0.0.1:1' },
  ) {
    this.env = env;
    this.#store = store;
    this.#name = name;
  }

  writeOut(text: string): void {
    this.#output += text;
  }

  writeError(text: string): void {
    this.#output += text.replace(/^(?=.)/gm, 'stderr: ');
  }

  connectStore() {
    return { store: this.#store, close: () => Promise.resolve() };
  }

  userName(): string {
    return this.#name;
  }

  newOperationId(): string {
    this.#operationCount += 1;
    return `${this.#name}-${this.#operationCount}`;
  }

  async run(line: string): Promise<string> {
    this.#output = '';
    const args = line.replaceAll('ADMIN', `--admin ${adminUrl} --token ${token}`).split(' ');
    const resolvedArgs = args.map((arg) => (arg.startsWith('./') ? join(root, arg) : arg));
    const status = await addOperatorCommands(new CommandLine(this)).run(resolvedArgs);
    const normalizedOutput = this.#output
      .replaceAll(root, '.')
      .replaceAll(adminUrl, 'http://node')
      .replaceAll(/\d{4}-\d\d-\d\dT[\d:.]+Z/g, 'TIME')
      .replaceAll(/"acceptedAtUnixMs":\d+/g, '"acceptedAtUnixMs":0')
      .replaceAll(/[0-9a-f]{64}/g, 'DIGEST');
    return `$ ${line}\n${normalizedOutput}=> ${status}\n`;
  }

  async runAll(lines: readonly string[]): Promise<string> {
    const outputs: string[] = [];
    for (const line of lines) outputs.push(await this.run(line));
    return outputs.join('\n');
  }
}

const createActiveVersionAnswer = (
  count: number,
  lagging: string[],
  missingIds: string[] = [],
) => ({
  answered: 3 - missingIds.length,
  total: 3,
  missingIds,
  value: { inForce: count, lagging },
});

const createMovesAnswer = (verdict: MoveVerdict, reason: string, sharePercent: number) => ({
  moves: [{ moveId: 'lager-v2', verdict, reason, sharePercent, provenStage: 0 }],
});

beforeEach(() => {
  answers = {
    '/v1/state': { configVersion: 1 },
    '/v1/fleet/in-force?configVersion=1': createActiveVersionAnswer(3, []),
    '/v1/fleet/in-force?configVersion=2': createActiveVersionAnswer(3, []),
    '/v1/moves': { moves: [] },
  };
});

test('validate, diff, apply and history keep their output and exit status', async () => {
  // Guards against a changed output or exit status, on which scripts of operators rely.
  const operator = new Operator(new MemoryStore());
  const lines = [
    'validate ./a',
    'validate ./bad',
    'validate ./bad --json',
    'history',
    'diff ./b --against ./a',
    'apply ./a',
    'apply ./a --json',
    'diff ./b',
    'apply ./b --json --author bo',
    'apply ./bad',
    'history',
    'history --limit 1 --json',
    'history --operation-id ada-1',
    'history --operation-id ada-9',
    'apply ./a --operation-id ada-3',
    'apply ./a --operation-id ada-1',
  ];
  matchSnapshot(import.meta.filename, 'store commands', await operator.runAll(lines));
});

test('invalid command lines are rejected', async () => {
  // Guards against a mistyped command line that ends with a status of success.
  const operator = new Operator(new MemoryStore());
  const lines = ['', 'aply ./a', 'apply', 'validate ./a --fast --json', 'apply ./a --wait'];
  const otherLines = ['wait', 'status --store elsewhere', 'report burn --admin nowhere'];
  matchSnapshot(
    import.meta.filename,
    'rejected command lines',
    await operator.runAll([...lines, ...otherLines]),
  );
});

test('apply --wait fails and names the cause if a node lags or a move is not done', async () => {
  // Guards against a status of success although the version is not active on every node or a move
  // was rolled back.
  const outputs: string[] = [];
  const apply = async (folder: string): Promise<void> => {
    const operator = new Operator(new MemoryStore());
    await operator.run('apply ./a');
    outputs.push(await operator.run(`apply ${folder} --wait --timeout-s 0.01 ADMIN`));
  };
  await apply('./b');
  answers['/v1/fleet/in-force?configVersion=2'] = createActiveVersionAnswer(1, ['n2'], ['n3']);
  await apply('./b');
  answers['/v1/fleet/in-force?configVersion=2'] = createActiveVersionAnswer(3, []);
  await apply('./moved');
  answers['/v1/moves'] = createMovesAnswer(MoveVerdict.Undecided, '', 5);
  await apply('./moved');
  answers['/v1/moves'] = createMovesAnswer(MoveVerdict.Done, '', 100);
  await apply('./moved');
  answers['/v1/moves'] = createMovesAnswer(MoveVerdict.RolledBack, 'failures on route stock', 0);
  await apply('./moved');
  matchSnapshot(import.meta.filename, 'apply and wait', outputs.join('\n'));
});

test('status, wait and report query one node', async () => {
  // Guards against commands that need the store although a node can answer.
  const operator = new Operator(new MemoryStore());
  answers['/v1/fleet/in-force?configVersion=1'] = createActiveVersionAnswer(2, ['n2']);
  answers['/v1/moves'] = createMovesAnswer(MoveVerdict.Undecided, 'waits for evidence', 2);
  const windows = [0, 5, 5].map((bad) => ({ good: 995, bad }));
  answers['/v1/fleet/burn'] = {
    answered: 2,
    total: 3,
    missingIds: ['n3'],
    value: { lager: { targetPercent: 99, latencyMs: 300, windowDays: 30, windows, points: {} } },
  };
  const lines = [
    'status ADMIN',
    'wait --timeout-s 0.01 ADMIN',
    'apply ./a',
    'status ADMIN --json',
    'wait --timeout-s 0.01 ADMIN',
    'wait --move lager-v2 lager-v3 --timeout-s 0.01 ADMIN',
    'wait --config-version 2 ADMIN',
    'report burn ADMIN',
    `status --admin ${adminUrl}`,
  ];
  const output = await operator.runAll(lines);
  const burnJson = await operator.run('report burn ADMIN --json');
  assert.match(burnJson, /"isSuccess":false,"exitStatus":1,.*"answeredNodes":2,"totalNodes":3/);
  assert.match(await operator.run('report burn --html ADMIN'), /<html/);
  answers['/v1/state'] = { configVersion: 0 };
  const env = { SEQUOIAFIELD_ADMIN_URL: adminUrl, SEQUOIAFIELD_NODE_ADMIN_TOKEN: token };
  const freshOperator = new Operator(new MemoryStore(), 'ada', env);
  assert.match(await freshOperator.run('status'), /No version is in force[^]*=> 0/);
  matchSnapshot(import.meta.filename, 'node commands', output.replaceAll(adminUrl, 'http://node'));
});

test('apply reports what a store failure means for the change', async () => {
  // Guards against an output of "accepted" or "nothing accepted" when the outcome is unknown.
  const outputs: string[] = [];
  const applyWithFault = async (chooseFault: (call: StoreCall) => StoreFault | undefined) => {
    let isFaulty = false;
    const store = new MemoryStore((call) => (isFaulty ? chooseFault(call) : undefined));
    const operator = new Operator(store);
    await operator.run('apply ./a');
    isFaulty = true;
    outputs.push(await operator.run('apply ./b'));
  };
  await applyWithFault(() => StoreFault.NotWritten);
  const isHeadSwap = ({ key, operation }: StoreCall) =>
    key === storeKeys.head && operation === 'swap';
  await applyWithFault((call) => (isHeadSwap(call) ? StoreFault.AnswerLost : undefined));
  await applyWithFault((call) => (isHeadSwap(call) ? StoreFault.RequestLost : undefined));
  await applyWithFault(({ key }) =>
    key === storeKeys.history(2) ? StoreFault.NotWritten : undefined,
  );
  matchSnapshot(import.meta.filename, 'store failures', outputs.join('\n'));
});

test('an operator whose apply conflicts sees the change of the other operator', async () => {
  // Guards against a conflict that does not show the change that caused it.
  const store = new MemoryStore();
  const swap = store.compareAndSwap.bind(store);
  let runOther: (() => Promise<string>) | undefined;
  store.compareAndSwap = async (key, expectedRevision, value) => {
    const run = key.startsWith('sequoiafield/manifest') ? runOther : undefined;
    if (run) {
      runOther = undefined;
      await run();
    }
    return swap(key, expectedRevision, value);
  };
  const operator = new Operator(store);
  await operator.run('apply ./a');
  runOther = () => new Operator(store, 'bo').run('apply ./b');
  const text = await operator.run('apply ./moved');
  runOther = () => new Operator(store, 'cleo').run('apply ./a');
  const json = await operator.run('apply ./moved --json');
  matchSnapshot(import.meta.filename, 'conflict', `${text}\n${json}`);
});

test('progress is shown on a terminal only, and never with --json', async () => {
  // Guards against control characters in the output of scripts.
  const operator = new Operator(new MemoryStore());
  operator.isTerminal = true;
  await operator.run('apply ./a');
  assert.match(await operator.run('wait ADMIN'), /\r/);
  assert.doesNotMatch(await operator.run('wait --json ADMIN'), /\r/);
});
