import { z } from 'zod';
import { endpointList, httpUrl, ipAddress, nameList, port, urlPath } from './settings-values.js';
import { iniValue, nameValue, oneOf, versionValue, wholeNumber } from './ini-values.js';

const storeTimeoutDefaultMs = 1000;
/** Covers the longest usual call during a planned stop; longer calls need a higher setting. */
const drainTimeoutDefaultMs = 30_000;

/** Schemas of the sections of the settings of a process. */
export const settingsSchemas = {
  node: z.strictObject({
    id: nameValue(),
    address: ipAddress(),
    region: nameValue(),
    data_centre: nameValue(),
    gossip_port: port(0),
    link_port: port(0),
    call_port: port(0),
    advertised_gossip_port: port(0).default(0),
    advertised_link_port: port(0).default(0),
    admin_address: ipAddress().default('127.0.0.1'),
    admin_port: port(0),
    admin_token: iniValue('a token of 0 to 200 visible ASCII characters', (text) =>
      /^[\x21-\x7e]{0,200}$/.test(text) ? text : undefined,
    ).default(''),
  }),
  backend_server: z.strictObject({
    service: nameValue(),
    version: versionValue(),
    address: ipAddress().default('127.0.0.1'),
    port: port(1),
    health_path: urlPath().default('/health'),
  }),
  store: z.strictObject({
    url: httpUrl(),
    timeout_ms: wholeNumber('ms', 1, 60_000).default(storeTimeoutDefaultMs),
  }),
  gossip: z.strictObject({
    seeds: endpointList().default([]),
    expected_fleet_size: wholeNumber('', 1, 1_000_000).default(1),
  }),
  routing: z.strictObject({ services: nameList().default([]) }),
  log: z.strictObject({
    level: oneOf({ error: 'error', warn: 'warn', info: 'info' } as const).default('info'),
  }),
  drain: z.strictObject({
    timeout_ms: wholeNumber('ms', 0, 3_600_000).default(drainTimeoutDefaultMs),
  }),
} as const;

/** Name of a section of the settings. */
export type SettingsSection = keyof typeof settingsSchemas;

/** Typed keys of one section of the settings. */
export type SettingsValues<S extends SettingsSection> = z.output<(typeof settingsSchemas)[S]>;

/** Sections of the settings, in the order of the documentation. */
export const settingsSections = Object.keys(settingsSchemas) as readonly SettingsSection[];
