import { performance } from 'node:perf_hooks';
import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { BenchmarkStore } from '../convergence/benchmark-store.js';
import type { NodeFigures } from '../convergence/control-messages.js';
import { HttpLinks } from '../convergence/http-links.js';
import { NodeFleet, type NodeChildProcess } from '../convergence/node-fleet.js';
import { FleetSimulator } from './fleet-simulator.js';

const memberCounts = [100, 1000, 7700];
const serviceCount = 300;
/** The target's churn: 990 restarts or replacements and 15 failures a day. */
const restartsPerDay = 1005;
const changesPerDay = 4400;
/** Churn of the last run, relative to the target, to show the cost of a day with many restarts. */
const heavyChurnFactor = 50;
const joinTimeoutMs = 60_000;
const settleMs = 10_000;
const windowMs = 60_000;
const quickWindowMs = 8000;

type TableCells = readonly (string | number)[];

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const waitForMembers = async (
  fleet: NodeFleet,
  node: NodeChildProcess,
  memberCount: number,
): Promise<void> => {
  const endAtMs = performance.now() + joinTimeoutMs;
  while (performance.now() < endAtMs) {
    const { memberRows, configVersion } = await fleet.figures(node);
    if (memberRows > memberCount && configVersion > 0) return;
    await pause(200);
  }
  throw new Error(
    `Node ${node.settings.id} did not learn ${memberCount} members within ${joinTimeoutMs} ms`,
  );
};

const round = (value: number, digits: number): number => Number(value.toFixed(digits));

const summarizeFigures = (before: NodeFigures, after: NodeFigures, seconds: number): TableCells => {
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
  memberCount: number,
  churnFactor: number,
  options: BenchmarkOptions,
): Promise<TableCells> => {
  const store = new BenchmarkStore(serviceCount);
  const storeUrl = await store.listen();
  const links = new HttpLinks('generator');
  const linkPort = await links.listen();
  const simulatorOptions = {
    memberCount,
    serviceCount,
    restartsPerDay: restartsPerDay * churnFactor,
    changesPerDay,
    seed: options.seed,
  };
  const simulator = new FleetSimulator(simulatorOptions, links, store);
  const seed = await simulator.listen(linkPort);
  simulator.accept();
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
    if (!node.self) throw new Error('Node node-under-test started without a member announcement');
    simulator.start(node.self);
    await waitForMembers(fleet, node, memberCount);
    await pause(options.isQuick ? 1000 : settleMs);
    const before = await fleet.figures(node);
    const startedAtMs = performance.now();
    await pause(options.isQuick ? quickWindowMs : windowMs);
    const after = await fleet.figures(node);
    const seconds = (performance.now() - startedAtMs) / 1000;
    return [memberCount, churnFactor, ...summarizeFigures(before, after, seconds)];
  } finally {
    simulator.stop();
    await fleet.close();
    links.close();
    store.close();
  }
};

/** Benchmark `node-cost`: cost of membership and distribution alone on one node. */
export const nodeCostBenchmark: Benchmark = {
  name: 'node-cost',
  description: 'Processor, memory, loop delay and bytes of one node with 100 to 7,700 members.',
  async run(options): Promise<BenchmarkReport> {
    const rows: TableCells[] = [];
    for (const count of memberCounts) rows.push(await measure(count, 1, options));
    const targetRow = rows[rows.length - 1];
    rows.push(await measure(memberCounts[memberCounts.length - 1] ?? 0, heavyChurnFactor, options));
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
        members: targetRow?.[0] ?? 0,
        processorPercent: targetRow?.[2] ?? 0,
        residentMb: targetRow?.[3] ?? 0,
        loopDelayP99Ms: targetRow?.[4] ?? 0,
        controlBytesPerS: Number(targetRow?.[6]) + Number(targetRow?.[7]) + Number(targetRow?.[8]),
        table: JSON.stringify(rows),
      },
    };
  },
};
