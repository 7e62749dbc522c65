import { monitorEventLoopDelay } from 'node:perf_hooks';
import { createDistribution, type Distribution } from '@sequoiafield/distribution';
import { SilentLogger } from '@sequoiafield/logger';
import { createMembership } from '@sequoiafield/membership';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import type { MemberAnnouncement } from '@sequoiafield/types';
import type { NodeFigures, NodeMessage, BenchmarkNodeSettings } from './control-messages.js';
import { HttpHeadSource } from './http-head-source.js';
import { HttpLinks } from './http-links.js';
import { jsonSectionChecker } from './json-section-checker.js';

// One node process with membership and distribution only; the benchmark starts many of them.
const settings = JSON.parse(process.argv[2] ?? '{}') as BenchmarkNodeSettings;
const tell = (message: NodeMessage): void => {
  process.send?.(message);
};

const links = new HttpLinks(settings.id);
const linkPort = await links.listen();
const announced: MemberAnnouncement = {
  id: settings.id,
  incarnation: Date.now(),
  address: '127.0.0.1',
  gossipPort: 0,
  linkPort,
  callPort: 0,
  region: settings.region,
  dataCentre: settings.dataCentre,
  service: settings.service,
  backendVersion: 'v1',
};
const random = new SeededRandom(settings.randomSeed);
const logger = new SilentLogger();
const source = new HttpHeadSource(settings.storeUrl);
const held: { distribution?: Distribution } = {};
const membership = createMembership({
  self: announced,
  logger,
  random,
  links,
  ownConfigVersion: () => held.distribution?.configVersion() ?? 0,
  isReady: () => held.distribution?.view.isServing() ?? false,
});
const distribution = createDistribution({
  members: membership.view,
  registers: membership.registers,
  links,
  configurationStore: source,
  checker: jsonSectionChecker,
  random,
  logger,
  lastGossipAckAtMs: () => membership.lastGossipAckAtMs(),
  versionWitnesses: () => membership.versionWitnesses(),
  seeds: () => settings.seeds,
  onSnapshotActivated: ({ configVersion }) => {
    membership.announceConfigVersion();
    tell({ kind: 'in-force', configVersion, atUnixMs: Date.now() });
  },
});
held.distribution = distribution;

/** The monitor samples at this interval and reports it as part of the delay. */
const sampleMs = 10;
const loopDelay = monitorEventLoopDelay({ resolution: sampleMs });
loopDelay.enable();
const figures = (): NodeFigures => {
  const { user, system } = process.cpuUsage();
  const result = {
    gossipSentBytes: membership.counters.sentBytes,
    gossipReceivedBytes: membership.counters.receivedBytes,
    linkBytes: links.bytes,
    storeCalls: source.calls,
    cpuUs: user + system,
    residentBytes: process.memoryUsage.rss(),
    loopDelayP99Ms: Math.max(0, loopDelay.percentile(99) / 1e6 - sampleMs),
    loopDelayMaxMs: Math.max(0, loopDelay.max / 1e6 - sampleMs),
    fleetSize: membership.view.fleetSize(),
    memberRows: [...membership.view.all()].length,
    configVersion: distribution.configVersion(),
  };
  loopDelay.reset();
  return result;
};

process.on('message', () => tell({ kind: 'figures', figures: figures() }));
process.on('disconnect', () => process.exit(0));

await membership.start();
const loop = new TickLoop([...membership.systems, ...distribution.systems], (name, error) => {
  console.error(`System ${name} failed`, error);
});
loop.start();
distribution.start();
tell({ kind: 'started', self: membership.view.get(settings.id) as MemberAnnouncement });
await membership.join(settings.seeds);
