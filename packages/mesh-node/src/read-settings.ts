import { parse } from 'ini';
import { NodeError } from '@sequoiafield/errors';
import { CapacityMode } from '@sequoiafield/types';
import type { Endpoint, MeshNodeSettings, UsageSettings } from './settings.js';

/** Values of the settings file by section and key. */
type Sections = Readonly<Record<string, Readonly<Record<string, unknown>> | undefined>>;

const msPerS = 1000;
const bytesPerMb = 1024 * 1024;
const portMax = 65_535;
const endpointPattern = /^(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})$/;

/** Reads values and collects the problems with them. */
class ValueReader {
  readonly problems: string[] = [];

  constructor(private readonly sections: Sections) {}

  /** Whether a section has a value for each of these keys. */
  hasAll(section: string, keys: readonly string[]): boolean {
    return keys.every((key) => (this.sections[section]?.[key] ?? '') !== '');
  }

  text(section: string, key: string): string {
    const value = this.sections[section]?.[key];
    if (typeof value === 'string' && value !== '') return value;
    this.problems.push(`[${section}] lacks key ${key}`);
    return '';
  }

  /** Returns one of the choices, or undefined if the key is missing, empty or `auto`. */
  choice<Choice extends string>(
    section: string,
    key: string,
    choices: readonly Choice[],
  ): Choice | undefined {
    const value = this.sections[section]?.[key];
    if (value === undefined || value === '' || value === 'auto') return undefined;
    const choice = choices.find((candidate) => candidate === value);
    if (choice === undefined) {
      const expected = ['auto', ...choices].join(', ');
      this.problems.push(`${key} of [${section}] must be one of ${expected}, not "${value}"`);
    }
    return choice;
  }

  number(section: string, key: string): number {
    const text = this.text(section, key);
    const value = Number(text);
    if (text !== '' && !(Number.isFinite(value) && value >= 0)) {
      this.problems.push(`${key} of [${section}] must be a number of at least 0, not "${text}"`);
    }
    return value;
  }

  /** Reads a time of more than 0 in seconds and returns it in ms. */
  duration(section: string, key: string): number {
    const value = this.number(section, key);
    if (value === 0) this.problems.push(`${key} of [${section}] must be more than 0`);
    return value * msPerS;
  }

  /** Reads a number that may be left out or empty. */
  optionalNumber(section: string, key: string): number | undefined {
    const text = this.sections[section]?.[key];
    return text === undefined || text === '' ? undefined : this.number(section, key);
  }

  port(section: string, key: string): number {
    const value = this.number(section, key);
    if (!Number.isInteger(value) || value < 1 || value > portMax) {
      this.problems.push(`${key} of [${section}] must be a port from 1 to ${portMax}`);
    }
    return value;
  }

  endpoint(section: string): Endpoint {
    const text = this.text(section, 'endpoint');
    const match = endpointPattern.exec(text);
    if (!match && text !== '') {
      this.problems.push(
        `endpoint of [${section}] must be an IP address and a port, not "${text}"`,
      );
    }
    return { address: match?.[1] ?? '', port: Number(match?.[2] ?? 0) };
  }
}

/** Reads the settings of usage reporting, which a deployment without reports leaves empty. */
const readUsageSettings = (values: ValueReader): UsageSettings | undefined => {
  const section = 'usage';
  if (!values.hasAll(section, ['endpoint', 'window_s', 'late_s', 'lease_s'])) return undefined;
  return {
    endpoint: values.endpoint(section),
    windowMs: values.duration(section, 'window_s'),
    lateMs: values.duration(section, 'late_s'),
    leaseMs: values.duration(section, 'lease_s'),
  };
};

/**
 * Reads the settings of a node from the text of its file.
 *
 * @throws NodeError that names every problem.
 * @example
 * const settings = readMeshNodeSettings(await readFile(path, 'utf8'));
 */
export const readMeshNodeSettings = (text: string): MeshNodeSettings => {
  const values = new ValueReader(parse(text));
  const memoryMb = values.optionalNumber('limits', 'memory_mb');
  const settings: MeshNodeSettings = {
    id: values.text('node', 'id'),
    address: values.text('node', 'address'),
    region: values.text('node', 'region'),
    dataCentre: values.text('node', 'data_centre'),
    peerPort: values.port('node', 'peer_port'),
    metricsPort: values.port('node', 'metrics_port'),
    ingress: values.endpoint('ingress'),
    readiness: values.endpoint('readiness'),
    announcements: values.endpoint('announcements'),
    backendServer: values.endpoint('backend_server'),
    service: values.text('backend_server', 'service'),
    heartbeatIntervalMs: values.number('backend_server', 'heartbeat_interval_s') * msPerS,
    capacityMode: values.choice('capacity', 'mode', Object.values(CapacityMode)),
    store: values.endpoint('store'),
    retryLimit: {
      ratio: values.number('retries', 'ratio'),
      slack: values.number('retries', 'slack'),
      windowMs: values.number('retries', 'window_s') * msPerS,
    },
    ...(memoryMb === undefined ? {} : { memoryBytes: memoryMb * bytesPerMb }),
    graceMs: values.number('stop', 'grace_s') * msPerS,
    usage: readUsageSettings(values),
  };
  if (values.problems.length > 0) {
    throw new NodeError(`The settings cannot be used: ${values.problems.join('; ')}`);
  }
  return settings;
};
