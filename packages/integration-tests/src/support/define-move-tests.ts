import { after, before, test } from 'node:test';
import { LocalMesh, type InstancePlan } from '@sequoiafield/stand-ins';
import { buildBundles } from '../build.js';
import { buildServiceConfiguration } from '../configurations.js';
import { checkMove } from './move-checks.js';
import { startMoves, type MoveScenario, type MoveRun } from './concurrent-moves.js';

/** Defines one test per scenario; the moves of all scenarios run at the same time on one mesh. */
export const defineMoveTests = (
  dataCentres: readonly string[],
  scenarios: readonly MoveScenario[],
  planInstances: (service: string) => readonly InstancePlan[],
): void => {
  const services = scenarios.map(({ service }) => service);
  const instances = services.flatMap(planInstances);
  const mesh = new LocalMesh({ distFolder: buildBundles(), instances });
  const runs = new Map<string, Promise<MoveRun>>();

  before(async () => {
    const runsByName = await startMoves(
      mesh,
      buildServiceConfiguration([...dataCentres], services),
      scenarios,
    );
    runsByName.forEach((run, name) => runs.set(name, run));
  });

  after(() => mesh.stop());

  for (const { name, expected } of scenarios) {
    test(`the verdict on a new version that ${name} is "${expected}"`, async (context) => {
      // Guards against a statistical test (SequentialVersionTest) that misses a defect or finds one
      // in a good version.
      const run = await runs.get(name)!;
      context.diagnostic(await checkMove(mesh, run, expected));
    });
  }
};
