import { after, before, test } from 'node:test';
import { FaultEffect, LocalMesh } from '@sequoiafield/stand-ins';
import { MoveVerdict } from '@sequoiafield/types';
import { buildBundles } from './build.js';
import { moveInstances, serviceFiles } from './configurations.js';
import { changeVersion, failing } from './support/behaviour-changes.js';
import { checkMove } from './support/move-checks.js';
import { startMoves, type MoveCell, type MoveRun } from './support/move-wave.js';

const dataCentres = ['ath-1', 'ath-2'];

const cells: readonly MoveCell[] = [
  {
    name: 'bad from the start',
    service: 'bad',
    expected: MoveVerdict.TakenBack,
    inject: changeVersion('bad', 'v2', failing),
  },
  {
    name: 'bad after some clean seconds',
    service: 'late',
    expected: MoveVerdict.TakenBack,
    fromStage: 3,
    inject: changeVersion('late', 'v2', failing),
  },
  { name: 'good', service: 'good', expected: MoveVerdict.Done },
];

const services = cells.map(({ service }) => service);
const files = serviceFiles(dataCentres, services);
const mesh = new LocalMesh({
  distFolder: buildBundles(),
  instances: services.flatMap((service) => moveInstances(service, dataCentres, 2)),
});
const runs = new Map<string, MoveRun>();

before(async () => {
  const started = await startMoves(mesh, files, cells);
  await mesh.waitInForce(2);
  await mesh.setStoreFaults([{ effect: FaultEffect.Refuse }]);
  for (const [name, run] of started) runs.set(name, await run);
  // The loads have ended; until now no node could read or write a verdict in the store.
  await mesh.setStoreFaults([]);
});

after(() => mesh.stop());

for (const { name, expected } of cells) {
  test(`with the store down a version that is ${name} is ${expected}`, async (context) => {
    // Guards against a verdict that waits for the store, or that is lost after the outage.
    context.diagnostic(await checkMove(mesh, runs.get(name)!, expected));
  });
}
