import { after, before, test } from 'node:test';
import { LocalMesh, type InstancePlan } from '@sequoiafield/stand-ins';
import { buildBundles } from '../build.js';
import { buildServiceConfiguration } from '../configurations.js';
import { checkMove } from './move-checks.js';
import { startMoves, type MoveScenario, type MoveRun } from './concurrent-moves.js';

/** Defines one test for each cell; the moves of all of them run at the same time on one mesh. */
export const defineMoveTests = (
  dataCentres: readonly string[],
  cells: readonly MoveScenario[],
  instancesOf: (service: string) => readonly InstancePlan[],
): void => {
  const services = cells.map(({ service }) => service);
  const instances = services.flatMap(instancesOf);
  const mesh = new LocalMesh({ distFolder: buildBundles(), instances });
  const runs = new Map<string, Promise<MoveRun>>();

  before(async () => {
    const started = await startMoves(
      mesh,
      buildServiceConfiguration([...dataCentres], services),
      cells,
    );
    started.forEach((run, name) => runs.set(name, run));
  });

  after(() => mesh.stop());

  for (const { name, expected } of cells) {
    test(`a new version that ${name} is ${expected}`, async (context) => {
      // Guards against a defect that the sequential test misses, or that it sees in a good version.
      const run = await runs.get(name)!;
      context.diagnostic(await checkMove(mesh, run, expected));
    });
  }
};
