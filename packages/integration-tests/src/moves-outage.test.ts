import { after, before, test } from 'node:test';
import { StoreFaultEffect, LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { buildBundles } from './build.js';
import { planMoveInstances, buildServiceConfiguration } from './configurations.js';
import { changeVersionBehaviour, failHalfOfCalls } from './support/behaviour-changes.js';
import { checkMove } from './support/move-checks.js';
import { startMoves, type MoveScenario, type MoveRun } from './support/concurrent-moves.js';

const dataCentres = ['ath-1', 'ath-2'];

const scenarios: readonly MoveScenario[] = [
  {
    name: 'bad from the start',
    service: 'bad',
    expected: MoveVerdict.RolledBack,
    inject: changeVersionBehaviour('bad', 'v2', failHalfOfCalls),
  },
  {
    name: 'bad only after some seconds',
    service: 'late',
    expected: MoveVerdict.RolledBack,
    injectFromStage: 3,
    inject: changeVersionBehaviour('late', 'v2', failHalfOfCalls),
  },
  { name: 'good', service: 'good', expected: MoveVerdict.Done },
];

const services = scenarios.map(({ service }) => service);
const files = buildServiceConfiguration(dataCentres, services);
const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances: services.flatMap((service) => planMoveInstances(service, dataCentres, 2)),
});
const runs = new Map<string, MoveRun>();

before(async () => {
  const runsByName = await startMoves(mesh, files, scenarios);
  await mesh.waitForActiveConfiguration(2);
  await mesh.setStoreFaults([{ effect: StoreFaultEffect.Refuse }]);
  for (const [name, run] of runsByName) runs.set(name, await run);
  // The loads have ended; until now no node could read or write a verdict in the store.
  await mesh.setStoreFaults([]);
});

after(() => mesh.stop());

for (const { name, expected } of scenarios) {
  test(`in a store outage the verdict on a version that is ${name} is "${expected}"`, async (context) => {
    // Guards against a verdict that is delayed until the store answers, or lost after the outage.
    context.diagnostic(await checkMove(mesh, runs.get(name)!, expected));
  });
}
