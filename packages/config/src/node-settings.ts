import { isIP } from 'node:net';
import { SettingsReader, type SettingsSources } from './settings-reader.js';
import type { SettingsValues } from './settings-schema.js';
import { isLoopback, type IpEndpoint } from './settings-values.js';

/** Connection to the platform's store. */
export interface StoreSettings {
  readonly url: string;
  readonly timeoutMs: number;
}

/** Settings of one node process. */
export interface NodeSettings {
  readonly node: {
    readonly id: string;
    readonly address: string;
    readonly region: string;
    readonly dataCentre: string;
    /** Ports may be 0; the operating system then chooses a free one. */
    readonly gossipPort: number;
    readonly linkPort: number;
    readonly callPort: number;
    /** Ports at which peers reach this node behind a port mapping; 0 if they are the same. */
    readonly advertisedGossipPort: number;
    readonly advertisedLinkPort: number;
    readonly adminAddress: string;
    readonly adminPort: number;
    /** Empty if no token is required, which is allowed only on a loopback address. */
    readonly adminToken: string;
  };
  readonly backendServer: {
    readonly service: string;
    readonly version: string;
    readonly address: string;
    readonly port: number;
    readonly healthPath: string;
  };
  readonly store: StoreSettings;
  readonly gossip: {
    readonly seeds: readonly IpEndpoint[];
    /** Number of nodes expected before the fleet is known; bounds store calls of a cold start. */
    readonly expectedFleetSize: number;
  };
  /** Services that this node routes to; empty for all. */
  readonly routing: { readonly services: readonly string[] };
  readonly log: { readonly level: 'error' | 'warn' | 'info' };
  readonly drain: { readonly timeoutMs: number };
}

const toNode = (values: SettingsValues<'node'>): NodeSettings['node'] => ({
  id: values.id,
  address: values.address,
  region: values.region,
  dataCentre: values.data_centre,
  gossipPort: values.gossip_port,
  linkPort: values.link_port,
  callPort: values.call_port,
  advertisedGossipPort: values.advertised_gossip_port,
  advertisedLinkPort: values.advertised_link_port,
  adminAddress: values.admin_address,
  adminPort: values.admin_port,
  adminToken: values.admin_token,
});

const toBackendServer = (
  values: SettingsValues<'backend_server'>,
): NodeSettings['backendServer'] => ({
  service: values.service,
  version: values.version,
  address: values.address,
  port: values.port,
  healthPath: values.health_path,
});

const toStore = (values: SettingsValues<'store'>): StoreSettings => ({
  url: values.url,
  timeoutMs: values.timeout_ms,
});

const checkAdminAccess = (reader: SettingsReader): void => {
  const address = reader.rawValue('node', 'admin_address');
  const token = reader.rawValue('node', 'admin_token') ?? '';
  if (address === undefined || !isIP(address) || isLoopback(address) || token !== '') return;
  reader.report(
    'node',
    'admin_address',
    `admin_address ${address} of [node] is not a loopback address and admin_token is empty`,
    'a loopback address, or an admin_token',
  );
};

/**
 * Loads and checks the settings of a node: an INI file, then environment variables
 * `SEQUOIAFIELD_<SECTION>_<KEY>`, then overrides by `section.key` from flags.
 *
 * @example
 * const settings = await loadNodeSettings({
 *   file: 'node.ini',
 *   env: process.env,
 *   overrides: { 'node.gossip_port': '0' },
 * });
 * @throws ConfigRejectedError that lists every problem with its source.
 */
export const loadNodeSettings = async (sources: SettingsSources): Promise<NodeSettings> => {
  const reader = new SettingsReader(sources);
  await reader.collect();
  const node = reader.validateSection('node');
  const backendServer = reader.validateSection('backend_server');
  const store = reader.validateSection('store');
  const gossip = reader.validateSection('gossip');
  const routing = reader.validateSection('routing');
  const log = reader.validateSection('log');
  const drain = reader.validateSection('drain');
  checkAdminAccess(reader);
  reader.throwIfRejected();
  if (!node || !backendServer || !store || !gossip || !routing || !log || !drain) {
    throw new Error('A section of the settings is absent without a reported problem');
  }
  return {
    node: toNode(node),
    backendServer: toBackendServer(backendServer),
    store: toStore(store),
    gossip: { seeds: gossip.seeds, expectedFleetSize: gossip.expected_fleet_size },
    routing,
    log,
    drain: { timeoutMs: drain.timeout_ms },
  };
};

/**
 * Loads only section `[store]`, for operator commands; undefined if no source has it. The values of
 * other sections are not checked.
 *
 * @example
 * const store = await loadStoreSettings({ env: process.env, overrides: { 'store.url': url } });
 * @throws ConfigRejectedError if a value of the section is invalid.
 */
export const loadStoreSettings = async (
  sources: SettingsSources,
): Promise<StoreSettings | undefined> => {
  const reader = new SettingsReader(sources);
  await reader.collect();
  if (!reader.hasValues('store')) {
    reader.throwIfRejected();
    return undefined;
  }
  const store = reader.validateSection('store');
  reader.throwIfRejected();
  return store && toStore(store);
};
