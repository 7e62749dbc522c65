import { NodeError } from '@sequoiafield/errors';

/** Address, service and version of the backend server beside this node. */
export interface BackendServerAnnouncement {
  readonly service: string;
  readonly version: string;
  readonly address: string;
  readonly port: number;
  /** Start time of the process; distinguishes a restarted process from a repeated announcement. */
  readonly startedAtUnixMs?: number;
}

const readText = (body: Record<string, unknown>, key: string): string => {
  const value = body[key];
  if (typeof value !== 'string' || value === '') {
    throw new NodeError(`Announcement needs "${key}" as a non-empty text`);
  }
  return value;
};

/**
 * Validates and reads the body of an announcement.
 *
 * @throws NodeError that names the missing or invalid key.
 * @example
 * readAnnouncement({ service: 'lager', version: 'v1', address: '127.0.0.1', port: 8080 });
 */
export const readAnnouncement = (body: unknown): BackendServerAnnouncement => {
  if (typeof body !== 'object' || body === null) {
    throw new NodeError('Announcement must be a JSON object');
  }
  const record = body as Record<string, unknown>;
  const port = Number(record.port);
  if (!Number.isInteger(port) || port < 1 || port > 65_535) {
    throw new NodeError('Announcement needs "port" as a number from 1 to 65535');
  }
  const { startedAtUnixMs } = record;
  const hasStart = startedAtUnixMs !== undefined && startedAtUnixMs !== null;
  if (hasStart && !Number.isSafeInteger(startedAtUnixMs)) {
    throw new NodeError('Announcement needs "startedAtUnixMs" as a whole number, or without it');
  }
  return {
    service: readText(record, 'service'),
    version: readText(record, 'version'),
    address: readText(record, 'address'),
    port,
    ...(hasStart ? { startedAtUnixMs: Number(startedAtUnixMs) } : {}),
  };
};
