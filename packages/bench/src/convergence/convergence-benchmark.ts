import { build as buildHistogram } from 'hdr-histogram-js';
import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { BenchmarkStore } from './benchmark-store.js';
import type { BenchmarkNodeSettings } from './control-messages.js';
import { NodeFleet, type NodeChildProcess } from './node-fleet.js';

const fleetSizes = [10, 30, 60, 100];
const serviceCount = 20;
const dataCentreCount = 4;
const acceptGapMs = 2000;
const quietWindowMs = 10_000;
const settleTimeoutMs = 30_000;
const storeUnavailableMs = 8000;
/** Processes started at a time; more would measure the start of Node.js. */
const startBatchSize = 10;

type TableCells = readonly (string | number)[];

interface ConvergenceRun {
  readonly fleet: NodeFleet;
  readonly store: BenchmarkStore;
  readonly storeUrl: string;
  readonly size: number;
  readonly seed: number;
}

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const waitUntil = async (condition: () => boolean | Promise<boolean>): Promise<boolean> => {
  const endAtMs = performance.now() + settleTimeoutMs;
  while (performance.now() < endAtMs) {
    if (await condition()) return true;
    await pause(50);
  }
  return false;
};

const createNodeSettings = (
  { storeUrl, seed, fleet }: ConvergenceRun,
  index: number,
): BenchmarkNodeSettings => ({
  id: `node-${String(index).padStart(3, '0')}`,
  region: index % dataCentreCount < dataCentreCount / 2 ? 'region-a' : 'region-b',
  dataCentre: `dc-${index % dataCentreCount}`,
  service: `service-${index % serviceCount}`,
  storeUrl,
  seeds: fleet.nodes.slice(0, 3).flatMap(({ self }) => (self ? [self] : [])),
  randomSeed: seed * 10_000 + index + (Date.now() % 1000),
});

const isActiveOnAllNodes = ({ fleet, size }: ConvergenceRun, version: number): boolean =>
  fleet.nodes.length === size &&
  fleet.nodes.every(({ activeAtUnixMs }) =>
    [...activeAtUnixMs.keys()].some((activeVersion) => activeVersion >= version),
  );

/**
 * Returns for each node the time until this version or a later one is active, from the accept or
 * from the start of its process, whichever is later.
 */
const collectDelaysMs = (
  { fleet }: ConvergenceRun,
  version: number,
  acceptedAtUnixMs: number,
): readonly number[] =>
  fleet.nodes.map(({ activeAtUnixMs, self }) => {
    const sinceUnixMs = Math.max(acceptedAtUnixMs, self?.incarnation ?? 0);
    const times = [...activeAtUnixMs]
      .filter(([activeVersion]) => activeVersion >= version)
      .map(([, at]) => at);
    return times.length === 0 ? settleTimeoutMs : Math.max(0, Math.min(...times) - sinceUnixMs);
  });

const summarizeDelays = (delays: readonly number[]): readonly number[] => {
  const histogram = buildHistogram({ highestTrackableValue: settleTimeoutMs * 2 });
  for (const delay of delays) histogram.recordValue(delay);
  return [
    histogram.getValueAtPercentile(50),
    histogram.getValueAtPercentile(99),
    Math.max(...delays),
  ];
};

const startNodes = async (run: ConvergenceRun, indexes: readonly number[]): Promise<void> => {
  for (let start = 0; start < indexes.length; start += startBatchSize) {
    const batch = indexes.slice(start, start + startBatchSize);
    await Promise.all(batch.map((index) => run.fleet.start(createNodeSettings(run, index))));
  }
};

const doAllNodesKnowAllMembers = async ({ fleet, size }: ConvergenceRun): Promise<boolean> => {
  const figures = await Promise.all(fleet.nodes.map((node) => fleet.figures(node)));
  return figures.every(({ fleetSize }) => fleetSize === size);
};

const acceptAndWait = async (run: ConvergenceRun): Promise<readonly number[]> => {
  const { configVersion, acceptedAtUnixMs } = run.store.accept();
  await waitUntil(() => isActiveOnAllNodes(run, configVersion));
  return collectDelaysMs(run, configVersion, acceptedAtUnixMs);
};

const measureQuiet = async (run: ConvergenceRun, acceptCount: number): Promise<TableCells> => {
  const delays: number[] = [];
  for (let index = 0; index < acceptCount; index++) {
    delays.push(...(await acceptAndWait(run)));
    await pause(acceptGapMs);
  }
  const { fleet, store } = run;
  const figuresBefore = await Promise.all(fleet.nodes.map((node) => fleet.figures(node)));
  const callsBefore = store.calls;
  const startedAtMs = performance.now();
  // One change in the window, since at the target size there is one every 20 s.
  store.accept();
  await pause(quietWindowMs);
  const seconds = (performance.now() - startedAtMs) / 1000;
  const figuresAfter = await Promise.all(fleet.nodes.map((node) => fleet.figures(node)));
  const bytesPerS = figuresAfter.map((figures, index) => {
    const earlierFigures = figuresBefore[index];
    const controlBytes = figures.gossipSentBytes + figures.gossipReceivedBytes + figures.linkBytes;
    const earlierControlBytes =
      (earlierFigures?.gossipSentBytes ?? 0) +
      (earlierFigures?.gossipReceivedBytes ?? 0) +
      (earlierFigures?.linkBytes ?? 0);
    return (controlBytes - earlierControlBytes) / seconds;
  });
  const meanBytesPerS = bytesPerS.reduce((sum, value) => sum + value, 0) / bytesPerS.length;
  const callsPerS = (store.calls - callsBefore) / seconds;
  return [
    ...summarizeDelays(delays),
    Math.round(meanBytesPerS),
    Math.round(Math.max(...bytesPerS)),
    Number(callsPerS.toFixed(1)),
  ];
};

const measureMassRestart = async (run: ConvergenceRun): Promise<TableCells> => {
  const { fleet, size, store } = run;
  const killedNodes = fleet.nodes.filter((_, index) => index % 3 === 2);
  const indexes = killedNodes.map(({ settings }) => Number(settings.id.slice(5)));
  await Promise.all(killedNodes.map((node: NodeChildProcess) => fleet.kill(node)));
  const callsBefore = store.calls;
  const startedAtMs = performance.now();
  const { configVersion, acceptedAtUnixMs } = store.accept();
  await startNodes(run, indexes);
  await waitUntil(() => isActiveOnAllNodes(run, configVersion));
  const delays = collectDelaysMs(run, configVersion, acceptedAtUnixMs);
  await waitUntil(() => doAllNodesKnowAllMembers({ ...run, size }));
  const seconds = (performance.now() - startedAtMs) / 1000;
  const callsPerS = Number(((store.calls - callsBefore) / seconds).toFixed(1));
  return [...summarizeDelays(delays), '', '', callsPerS];
};

const measureStoreOutage = async (run: ConvergenceRun): Promise<TableCells> => {
  const { fleet, store } = run;
  // The store becomes unavailable when the first node reports the new version as active: before a
  // node has read the new head, no node can spread it.
  fleet.onConfigurationActive = () => {
    store.isUnavailable = true;
  };
  const { configVersion, acceptedAtUnixMs } = store.accept();
  const callsBefore = store.calls;
  await waitUntil(() => isActiveOnAllNodes(run, configVersion));
  const delays = collectDelaysMs(run, configVersion, acceptedAtUnixMs);
  await pause(storeUnavailableMs);
  const seconds = (Date.now() - acceptedAtUnixMs) / 1000;
  const callsPerS = Number(((store.calls - callsBefore) / seconds).toFixed(1));
  fleet.onConfigurationActive = () => undefined;
  store.isUnavailable = false;
  return [...summarizeDelays(delays), '', '', callsPerS];
};

const runSize = async (size: number, options: BenchmarkOptions): Promise<readonly TableCells[]> => {
  const store = new BenchmarkStore(serviceCount);
  const storeUrl = await store.listen();
  const fleet = await NodeFleet.create();
  const run: ConvergenceRun = { fleet, store, storeUrl, size, seed: options.seed };
  try {
    store.accept();
    await startNodes(run, [0]);
    await startNodes(
      run,
      Array.from({ length: size - 1 }, (_, index) => index + 1),
    );
    const isFleetKnown = await waitUntil(() => doAllNodesKnowAllMembers(run));
    if (!isFleetKnown)
      throw new Error(`Not every node learned all ${size} members within ${settleTimeoutMs} ms`);
    return [
      [size, 'quiet', ...(await measureQuiet(run, options.isQuick ? 2 : 10))],
      [size, 'mass restart of a third', ...(await measureMassRestart(run))],
      [size, 'store out after the accept', ...(await measureStoreOutage(run))],
    ];
  } finally {
    await fleet.close();
    store.close();
  }
};

/** Benchmark `convergence`: time from an accepted change until it is active on every node. */
export const convergenceBenchmark: Benchmark = {
  name: 'convergence',
  description:
    'Time from accept to activation at 10 to 100 nodes; quiet, mass restart, store unavailable.',
  async run(options): Promise<BenchmarkReport> {
    const rows: TableCells[] = [];
    for (const size of options.isQuick ? fleetSizes.slice(0, 1) : fleetSizes) {
      rows.push(...(await runSize(size, options)));
    }
    const largest = rows.filter(([size]) => size === rows[rows.length - 1]?.[0]);
    const [quiet, restart, outage] = largest;
    return {
      name: 'convergence',
      columns: [
        'nodes',
        'condition',
        'p50 ms',
        'p99 ms',
        'max ms',
        'control bytes/s mean',
        'control bytes/s max',
        'store calls/s',
      ],
      rows,
      figures: {
        nodes: quiet?.[0] ?? 0,
        quietP50Ms: quiet?.[2] ?? 0,
        quietP99Ms: quiet?.[3] ?? 0,
        quietMaxMs: quiet?.[4] ?? 0,
        controlBytesPerNodePerS: quiet?.[5] ?? 0,
        storeCallsPerS: quiet?.[7] ?? 0,
        restartP99Ms: restart?.[3] ?? 0,
        storeOutP99Ms: outage?.[3] ?? 0,
        table: JSON.stringify(rows),
      },
    };
  },
};
