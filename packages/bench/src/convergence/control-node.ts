import { monitorEventLoopDelay } from 'node:perf_hooks';
import { createDistribution, type Distribution } from '@sequoiafield/distribution';
import { SilentLogger } from '@sequoiafield/logger';
import { createMembership } from '@sequoiafield/membership';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import type { MemberAnnouncement } from '@sequoiafield/types';
import type { NodeFigures, NodeMessage, BenchmarkNodeSettings } from './control-messages.js';
import { HttpConfigurationStore } from './http-configuration-store.js';
import { HttpLinks } from './http-links.js';
import { jsonSectionChecker } from './json-section-checker.js';

// Node process with membership and distribution only; the benchmark starts many of them.
const settings = JSON.parse(process.argv[2] ?? '{}') as BenchmarkNodeSettings;
const sendMessage = (message: NodeMessage): void => {
  process.send?.(message);
};

const links = new HttpLinks(settings.id);
const linkPort = await links.listen();
const announcement: MemberAnnouncement = {
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
const configurationStore = new HttpConfigurationStore(settings.storeUrl);
const lateBound: { distribution?: Distribution } = {};
const membership = createMembership({
  self: announcement,
  logger,
  random,
  links,
  ownConfigVersion: () => lateBound.distribution?.configVersion() ?? 0,
  isReady: () => lateBound.distribution?.view.isServing() ?? false,
});
const distribution = createDistribution({
  members: membership.view,
  registers: membership.registers,
  links,
  configurationStore,
  checker: jsonSectionChecker,
  random,
  logger,
  lastGossipAckAtMs: () => membership.lastGossipAckAtMs(),
  versionWitnesses: () => membership.versionWitnesses(),
  seeds: () => settings.seeds,
  onSnapshotActivated: ({ configVersion }) => {
    membership.announceConfigVersion();
    sendMessage({ kind: 'in-force', configVersion, atUnixMs: Date.now() });
  },
});
lateBound.distribution = distribution;

/** Sampling interval of the monitor, which adds it to every delay. */
const sampleIntervalMs = 10;
const loopDelay = monitorEventLoopDelay({ resolution: sampleIntervalMs });
loopDelay.enable();
const collectFigures = (): NodeFigures => {
  const { user, system } = process.cpuUsage();
  const result = {
    gossipSentBytes: membership.counters.sentBytes,
    gossipReceivedBytes: membership.counters.receivedBytes,
    linkBytes: links.bytes,
    storeCalls: configurationStore.calls,
    cpuUs: user + system,
    residentBytes: process.memoryUsage.rss(),
    loopDelayP99Ms: Math.max(0, loopDelay.percentile(99) / 1e6 - sampleIntervalMs),
    loopDelayMaxMs: Math.max(0, loopDelay.max / 1e6 - sampleIntervalMs),
    fleetSize: membership.view.fleetSize(),
    memberRows: [...membership.view.all()].length,
    configVersion: distribution.configVersion(),
  };
  loopDelay.reset();
  return result;
};

process.on('message', () => sendMessage({ kind: 'figures', figures: collectFigures() }));
process.on('disconnect', () => process.exit(0));

await membership.start();
const loop = new TickLoop([...membership.systems, ...distribution.systems], (name, error) => {
  console.error(`System ${name} failed`, error);
});
loop.start();
distribution.start();
sendMessage({ kind: 'started', self: membership.view.get(settings.id) as MemberAnnouncement });
await membership.join(settings.seeds);
