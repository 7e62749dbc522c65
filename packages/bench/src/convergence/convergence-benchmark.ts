import { build as buildHistogram } from 'hdr-histogram-js';
import type { Benchmark, BenchmarkOptions, BenchmarkReport } from '../benchmark.js';
import { BenchmarkStore } from './benchmark-store.js';
import type { BenchmarkNodeSettings } from './control-messages.js';
import { NodeFleet, type NodeChildProcess } from './node-fleet.js';

const sizes = [10, 30, 60, 100];
const services = 20;
const dataCentres = 4;
const acceptGapMs = 2000;
const quietWindowMs = 10_000;
const settleTimeoutMs = 30_000;
const storeOutMs = 8000;
/** Processes started at a time; more would measure the start of Node.js. */
const startBatch = 10;

type Cells = readonly (string | number)[];

interface Run {
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

const until = async (condition: () => boolean | Promise<boolean>): Promise<boolean> => {
  const endAtMs = performance.now() + settleTimeoutMs;
  while (performance.now() < endAtMs) {
    if (await condition()) return true;
    await pause(50);
  }
  return false;
};

const settingsOf = ({ storeUrl, seed, fleet }: Run, index: number): BenchmarkNodeSettings => ({
  id: `node-${String(index).padStart(3, '0')}`,
  region: index % dataCentres < dataCentres / 2 ? 'region-a' : 'region-b',
  dataCentre: `dc-${index % dataCentres}`,
  service: `service-${index % services}`,
  storeUrl,
  seeds: fleet.nodes.slice(0, 3).flatMap(({ self }) => (self ? [self] : [])),
  randomSeed: seed * 10_000 + index + (Date.now() % 1000),
});

const isEverywhere = ({ fleet, size }: Run, version: number): boolean =>
  fleet.nodes.length === size &&
  fleet.nodes.every(({ activeAtUnixMs: inForceAtUnixMs }) =>
    [...inForceAtUnixMs.keys()].some((held) => held >= version),
  );

/**
 * Time of each node until that version or a later one was in force, from the accept or from the
 * start of its process, whichever came later.
 */
const delaysMs = ({ fleet }: Run, version: number, acceptedAtUnixMs: number): readonly number[] =>
  fleet.nodes.map(({ activeAtUnixMs: inForceAtUnixMs, self }) => {
    const sinceUnixMs = Math.max(acceptedAtUnixMs, self?.incarnation ?? 0);
    const times = [...inForceAtUnixMs].filter(([held]) => held >= version).map(([, at]) => at);
    return times.length === 0 ? settleTimeoutMs : Math.max(0, Math.min(...times) - sinceUnixMs);
  });

const describe = (delays: readonly number[]): readonly number[] => {
  const histogram = buildHistogram({ highestTrackableValue: settleTimeoutMs * 2 });
  for (const delay of delays) histogram.recordValue(delay);
  return [
    histogram.getValueAtPercentile(50),
    histogram.getValueAtPercentile(99),
    Math.max(...delays),
  ];
};

const startNodes = async (run: Run, indexes: readonly number[]): Promise<void> => {
  for (let start = 0; start < indexes.length; start += startBatch) {
    const batch = indexes.slice(start, start + startBatch);
    await Promise.all(batch.map((index) => run.fleet.start(settingsOf(run, index))));
  }
};

const knowsAll = async ({ fleet, size }: Run): Promise<boolean> => {
  const figures = await Promise.all(fleet.nodes.map((node) => fleet.figures(node)));
  return figures.every(({ fleetSize }) => fleetSize === size);
};

const acceptAndWait = async (run: Run): Promise<readonly number[]> => {
  const { configVersion, acceptedAtUnixMs } = run.store.accept();
  await until(() => isEverywhere(run, configVersion));
  return delaysMs(run, configVersion, acceptedAtUnixMs);
};

const measureQuiet = async (run: Run, accepts: number): Promise<Cells> => {
  const delays: number[] = [];
  for (let accept = 0; accept < accepts; accept++) {
    delays.push(...(await acceptAndWait(run)));
    await pause(acceptGapMs);
  }
  const { fleet, store } = run;
  const before = await Promise.all(fleet.nodes.map((node) => fleet.figures(node)));
  const callsBefore = store.calls;
  const startedAtMs = performance.now();
  // One change in the window, as the target has one each 20 s.
  store.accept();
  await pause(quietWindowMs);
  const seconds = (performance.now() - startedAtMs) / 1000;
  const after = await Promise.all(fleet.nodes.map((node) => fleet.figures(node)));
  const bytes = after.map((figures, index) => {
    const earlier = before[index];
    const gossip = figures.gossipSentBytes + figures.gossipReceivedBytes + figures.linkBytes;
    const earlierGossip =
      (earlier?.gossipSentBytes ?? 0) +
      (earlier?.gossipReceivedBytes ?? 0) +
      (earlier?.linkBytes ?? 0);
    return (gossip - earlierGossip) / seconds;
  });
  const meanBytes = bytes.reduce((sum, value) => sum + value, 0) / bytes.length;
  const callsPerS = (store.calls - callsBefore) / seconds;
  return [
    ...describe(delays),
    Math.round(meanBytes),
    Math.round(Math.max(...bytes)),
    Number(callsPerS.toFixed(1)),
  ];
};

const measureMassRestart = async (run: Run): Promise<Cells> => {
  const { fleet, size, store } = run;
  const victims = fleet.nodes.filter((_, index) => index % 3 === 2);
  const indexes = victims.map(({ settings }) => Number(settings.id.slice(5)));
  await Promise.all(victims.map((victim: NodeChildProcess) => fleet.kill(victim)));
  const callsBefore = store.calls;
  const startedAtMs = performance.now();
  const { configVersion, acceptedAtUnixMs } = store.accept();
  await startNodes(run, indexes);
  await until(() => isEverywhere(run, configVersion));
  const delays = delaysMs(run, configVersion, acceptedAtUnixMs);
  await until(() => knowsAll({ ...run, size }));
  const seconds = (performance.now() - startedAtMs) / 1000;
  const callsPerS = Number(((store.calls - callsBefore) / seconds).toFixed(1));
  return [...describe(delays), '', '', callsPerS];
};

const measureStoreOut = async (run: Run): Promise<Cells> => {
  const { fleet, store } = run;
  // Before any node read the new head nothing could spread it; out from the first that has it.
  fleet.onConfigurationActive = () => {
    store.isUnavailable = true;
  };
  const { configVersion, acceptedAtUnixMs } = store.accept();
  const callsBefore = store.calls;
  await until(() => isEverywhere(run, configVersion));
  const delays = delaysMs(run, configVersion, acceptedAtUnixMs);
  await pause(storeOutMs);
  const seconds = (Date.now() - acceptedAtUnixMs) / 1000;
  const callsPerS = Number(((store.calls - callsBefore) / seconds).toFixed(1));
  fleet.onConfigurationActive = () => undefined;
  store.isUnavailable = false;
  return [...describe(delays), '', '', callsPerS];
};

const runSize = async (size: number, options: BenchmarkOptions): Promise<readonly Cells[]> => {
  const store = new BenchmarkStore(services);
  const storeUrl = await store.listen();
  const fleet = await NodeFleet.create();
  const run: Run = { fleet, store, storeUrl, size, seed: options.seed };
  try {
    store.accept();
    await startNodes(run, [0]);
    await startNodes(
      run,
      Array.from({ length: size - 1 }, (_, index) => index + 1),
    );
    const isKnown = await until(() => knowsAll(run));
    if (!isKnown) throw new Error(`${size} nodes did not find each other`);
    return [
      [size, 'quiet', ...(await measureQuiet(run, options.isQuick ? 2 : 10))],
      [size, 'mass restart of a third', ...(await measureMassRestart(run))],
      [size, 'store out after the accept', ...(await measureStoreOut(run))],
    ];
  } finally {
    await fleet.close();
    store.close();
  }
};

/** Time from an accepted change until it is in force on every node. */
export const convergenceBenchmark: Benchmark = {
  name: 'convergence',
  description: 'Time from accept to in force at 10 to 100 nodes; quiet, mass restart, store out.',
  async run(options): Promise<BenchmarkReport> {
    const rows: Cells[] = [];
    for (const size of options.isQuick ? sizes.slice(0, 1) : sizes) {
      rows.push(...(await runSize(size, options)));
    }
    const largest = rows.filter(([size]) => size === rows[rows.length - 1]?.[0]);
    const [quiet, restart, out] = largest;
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
        storeOutP99Ms: out?.[3] ?? 0,
        table: JSON.stringify(rows),
      },
    };
  },
};
