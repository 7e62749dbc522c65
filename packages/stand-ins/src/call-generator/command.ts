import { readFileSync, writeFileSync } from 'node:fs';
import type { CommandModule } from 'yargs';
import { SeededRandom } from '@sequoiafield/tables';
import { CallClient } from './call-client.js';
import { CallGenerator } from './call-generator.js';
import { CallPlan, parseRouteTemplate } from './call-plan.js';
import { findViolations } from './ledger-check.js';
import { readLedgers } from './ledger-reader.js';
import type { OutcomeRecord } from './request-outcome.js';
import { summarizeRun } from './summary.js';

interface VerifyArguments {
  readonly ledger: readonly string[];
  readonly ledgerFile: readonly string[];
}

interface RunArguments extends VerifyArguments {
  readonly target: readonly string[];
  readonly rate: number;
  readonly count: number;
  readonly durationS: number;
  readonly lookup: readonly string[];
  readonly request: readonly string[];
  readonly lookupPercent: number;
  readonly bodyBytes: number;
  readonly deadlineMs: number;
  readonly connections: number;
  readonly seed: number;
  readonly runId: string | undefined;
  readonly out: string | undefined;
}

/** Largest number of violations printed; `violationCount` counts all of them. */
const violationsPrintedMax = 20;

const verify = async (
  records: readonly OutcomeRecord[],
  { ledger, ledgerFile }: VerifyArguments,
): Promise<object> => {
  const ledgerSet = await readLedgers(ledger, ledgerFile);
  const violations = findViolations(records, ledgerSet);
  if (violations.length > 0) process.exitCode = 1;
  return {
    areLedgersComplete: ledgerSet.isComplete,
    violationCount: violations.length,
    violations: violations.slice(0, violationsPrintedMax),
  };
};

const run = async (options: RunArguments): Promise<void> => {
  const plan = new CallPlan(
    {
      runId: options.runId ?? `seed${options.seed}`,
      ratePerS: options.rate,
      lookupPercent: options.lookupPercent,
      lookups: options.lookup.map((text) => parseRouteTemplate(text, true)),
      requests: options.request.map((text) => parseRouteTemplate(text, false)),
      bodyBytes: options.bodyBytes,
    },
    new SeededRandom(options.seed),
  );
  const client = new CallClient(options.connections, options.deadlineMs);
  const generator = new CallGenerator(plan, client, options.target);
  const records = await generator.run({
    countMax: options.count,
    durationMaxMs: options.durationS * 1000,
  });
  await client.close();
  if (options.out !== undefined) {
    writeFileSync(options.out, records.map((record) => `${JSON.stringify(record)}\n`).join(''));
  }
  const isVerified = options.ledger.length + options.ledgerFile.length > 0;
  const verification = isVerified ? await verify(records, options) : undefined;
  console.log(JSON.stringify({ seed: options.seed, ...summarizeRun(records), verification }));
};

const verifyFile = async (options: VerifyArguments & { results: string }): Promise<void> => {
  const records = readFileSync(options.results, 'utf8')
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as OutcomeRecord);
  console.log(JSON.stringify({ requests: records.length, ...(await verify(records, options)) }));
};

const ledgerOptions = {
  ledger: {
    type: 'string',
    array: true,
    default: [] as string[],
    describe: 'URL of a running backend server',
  },
  ledgerFile: {
    type: 'string',
    array: true,
    default: [] as string[],
    describe: 'Ledger file of a stopped backend server',
  },
} as const;

/** Command `call-generator`: sends an open-loop load and checks each answer. */
export const callGeneratorCommand: CommandModule<object, RunArguments> = {
  command: 'call-generator',
  describe: 'Sends an open-loop load and prints one JSON object at its end',
  builder: (yargs) =>
    yargs
      .options(ledgerOptions)
      .option('target', { type: 'string', array: true, demandOption: true })
      .option('rate', { type: 'number', default: 100, describe: 'Requests per second' })
      .option('count', { type: 'number', default: 100_000, describe: 'Maximum number of requests' })
      .option('durationS', { type: 'number', default: 10, describe: 'Maximum time to send' })
      .option('lookup', { type: 'string', array: true, default: ['GET /tabs/{n}'] })
      .option('request', { type: 'string', array: true, default: ['POST /settle/{n}'] })
      .option('lookupPercent', { type: 'number', default: 70 })
      .option('bodyBytes', { type: 'number', default: 128 })
      .option('deadlineMs', { type: 'number', default: 2000 })
      .option('connections', { type: 'number', default: 128, describe: 'Per target' })
      .option('seed', { type: 'number', default: 1 })
      .option('runId', { type: 'string', describe: 'Prefix of each request id' })
      .option('out', { type: 'string', describe: 'File for one JSON line per request' }),
  handler: run,
};

/** Command `verify`: compares the results of a run with the ledgers; exit status 1 on violations. */
export const verifyCommand: CommandModule<object, VerifyArguments & { results: string }> = {
  command: 'verify',
  describe: 'Compares a results file of call-generator with the ledgers of the backend servers',
  builder: (yargs) =>
    yargs
      .options(ledgerOptions)
      .option('results', { type: 'string', demandOption: true, describe: 'File of --out' }),
  handler: verifyFile,
};
