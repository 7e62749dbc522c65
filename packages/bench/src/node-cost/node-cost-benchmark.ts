import { performance } from 'node:perf_hooks';
import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { BenchmarkStore } from '../convergence/benchmark-store.js';
import type { NodeFigures } from '../convergence/control-messages.js';
import { HttpLinks } from '../convergence/http-links.js';
import { NodeFleet, type NodeChildProcess } from '../convergence/node-fleet.js';
import { FleetSimulator } from './fleet-simulator.js';

const rowCounts = [100, 1000, 7700];
const services = 300;
/** The target's churn: 990 restarts or replacements and 15 failures a day. */
const restartsPerDay = 1005;
const changesPerDay = 4400;
/** Churn of the last run, to show what a bad day costs. */
const heavyFactor = 50;
const joinTimeoutMs = 60_000;
const settleMs = 10_000;
const windowMs = 60_000;
const quickWindowMs = 8000;

type Cells = readonly (string | number)[];

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const waitForRows = async (
  fleet: NodeFleet,
  node: NodeChildProcess,
  rows: number,
): Promise<void> => {
  const endAtMs = performance.now() + joinTimeoutMs;
  while (performance.now() < endAtMs) {
    const { memberRows, configVersion } = await fleet.figures(node);
    if (memberRows > rows && configVersion > 0) return;
    await pause(200);
  }
  throw new Error(`The node did not learn ${rows} members`);
};

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

const describe = (before: NodeFigures, after: NodeFigures, seconds: number): Cells => {
  const perS = (key: keyof NodeFigures): number => (after[key] - before[key]) / seconds;
  return [
    round((perS('cpuUs') / 1e6) * 100, 2),
    round(after.residentBytes / 1e6, 1),
    round(after.loopDelayP99Ms, 1),
    round(after.loopDelayMaxMs, 1),
    Math.round(perS('gossipSentBytes')),
    Math.round(perS('gossipReceivedBytes')),
    Math.round(perS('linkBytes')),
    round(perS('storeCalls'), 3),
  ];
};

const measure = async (
  rows: number,
  churnFactor: number,
  options: BenchmarkOptions,
): Promise<Cells> => {
  const store = new BenchmarkStore(services);
  const storeUrl = await store.listen();
  const links = new HttpLinks('generator');
  const linkPort = await links.listen();
  const load = {
    memberCount: rows,
    serviceCount: services,
    restartsPerDay: restartsPerDay * churnFactor,
    changesPerDay,
    seed: options.seed,
  };
  const generator = new FleetSimulator(load, links, store);
  const seed = await generator.listen(linkPort);
  generator.accept();
  const fleet = await NodeFleet.create();
  try {
    const node = await fleet.start({
      id: 'node-under-test',
      region: 'region-0',
      dataCentre: 'data-centre-0',
      service: 'service-0',
      storeUrl,
      seeds: [seed],
      randomSeed: options.seed,
    });
    if (!node.self) throw new Error('The node did not start');
    generator.start(node.self);
    await waitForRows(fleet, node, rows);
    await pause(options.isQuick ? 1000 : settleMs);
    const before = await fleet.figures(node);
    const startedAtMs = performance.now();
    await pause(options.isQuick ? quickWindowMs : windowMs);
    const after = await fleet.figures(node);
    const seconds = (performance.now() - startedAtMs) / 1000;
    return [rows, churnFactor, ...describe(before, after, seconds)];
  } finally {
    generator.stop();
    await fleet.close();
    links.close();
    store.close();
  }
};

/** Cost of membership and distribution alone on one node. */
export const nodeCostBenchmark: Benchmark = {
  name: 'node-cost',
  description: 'Processor, memory, loop delay and bytes of one node with 100 to 7,700 members.',
  async run(options): Promise<BenchmarkReport> {
    const rows: Cells[] = [];
    for (const count of rowCounts) rows.push(await measure(count, 1, options));
    const target = rows[rows.length - 1];
    rows.push(await measure(rowCounts[rowCounts.length - 1] ?? 0, heavyFactor, options));
    return {
      name: 'node-cost',
      columns: [
        'members',
        'churn factor',
        'processor % of a core',
        'resident MB',
        'loop delay p99 ms',
        'loop delay max ms',
        'gossip sent bytes/s',
        'gossip received bytes/s',
        'link bytes/s',
        'store calls/s',
      ],
      rows,
      figures: {
        members: target?.[0] ?? 0,
        processorPercent: target?.[2] ?? 0,
        residentMb: target?.[3] ?? 0,
        loopDelayP99Ms: target?.[4] ?? 0,
        controlBytesPerS: Number(target?.[6]) + Number(target?.[7]) + Number(target?.[8]),
        table: JSON.stringify(rows),
      },
    };
  },
};
