// Guards against two test files that run at the same time and start processes on the same port: the
// check that a port is free says nothing about the seconds until the process listens there.
import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { test } from 'node:test';
import { promisify } from 'node:util';

const processCount = 6;
const portsPerProcess = 250;
const program = `
  import { allocateFreePort } from '${new URL('free-ports.ts', import.meta.url).href}';
  const ports = [];
  while (ports.length < ${portsPerProcess}) ports.push(await allocateFreePort());
  console.log(JSON.stringify(ports));
  // The ports stay claimed until all processes have allocated theirs.
  await new Promise((resolve) => setTimeout(resolve, 3000));
`;

const allocateInProcess = async (): Promise<number[]> => {
  const { stdout } = await promisify(execFile)(process.execPath, [
    ...['--import', 'tsx', '--input-type=module', '--eval', program],
  ]);
  return JSON.parse(stdout) as number[];
};

test('processes that run at the same time allocate different ports', async () => {
  const allocated = await Promise.all(Array.from({ length: processCount }, allocateInProcess));
  const ports = allocated.flat();
  assert.equal(ports.length, processCount * portsPerProcess);
  assert.equal(new Set(ports).size, ports.length, 'two processes allocated the same port');
});
