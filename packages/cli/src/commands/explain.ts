import { readFile } from 'node:fs/promises';
import { CommandError } from '@sequoiafield/errors';
import { ExitStatus } from '../exit-status.js';
import { explainRequest, parseLogLine, type LogLine } from '../explain-request.js';
import type { OperatorCommand } from '../command-line.js';

const readLog = async (file: string): Promise<readonly LogLine[]> => {
  const text = await readFile(file, 'utf8').catch((cause: Error) => {
    throw new CommandError(`Log file ${file} cannot be read: ${cause.message}`, { cause });
  });
  return text.split('\n').flatMap((line) => parseLogLine(line) ?? []);
};

/** `explain REQUEST-ID LOG...`: follows one request through the logs of several nodes. */
export const explainCommand: OperatorCommand<{
  readonly 'request-id': string;
  readonly logs: readonly string[];
}> = {
  command: 'explain <request-id> <logs..>',
  describe: 'Follow one request through the logs of several nodes',
  builder: (yargs) =>
    yargs
      .positional('request-id', { type: 'string', demandOption: true, describe: 'Request id' })
      .positional('logs', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'Log files',
      }),
  run: async ({ 'request-id': requestId, logs }) => {
    const parsed = await Promise.all(logs.map(readLog));
    const lines = explainRequest(requestId, parsed.flat());
    if (lines.length > 0) return { status: ExitStatus.Success, data: { lines }, lines };
    const text = `No line of these logs is about request ${requestId}`;
    return { status: ExitStatus.Failed, data: { error: text }, lines: [text] };
  },
};
