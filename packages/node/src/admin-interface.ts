import { timingSafeEqual } from 'node:crypto';
import fastify, { type FastifyInstance } from 'fastify';
import { NodeError } from '@sequoiafield/errors';
import {
  FleetQueryKind,
  type FleetAnswer,
  type FleetQuery,
  type MemberView,
  type MoveStatus,
} from '@sequoiafield/types';
import { readAnnouncement, type BackendServerAnnouncement } from './backend-server-announcement.js';

const fleetQueryTimeoutMs = 3000;
const unauthorizedStatus = 401;
const badRequestStatus = 400;
const conflictStatus = 409;

/** State and operations that the admin interface exposes; implemented by the node. */
export interface NodeAdmin {
  readonly members: MemberView;
  readonly fleetQuery: FleetQuery;
  state(): Readonly<Record<string, unknown>>;
  moves(): readonly MoveStatus[];
  metrics(): Promise<string>;
  /** Returns false if the backend server has just drained and has to announce itself again. */
  receiveAnnouncement(announcement: BackendServerAnnouncement): boolean;
  drain(): void;
}

/**
 * Answer of one node, or merged answer of several, to the fleet query for a configuration version.
 * Its fields are the number of nodes on which this version or a later one is active, and the ids of
 * nodes with an older version.
 */
export interface ActiveVersionAnswer {
  readonly inForce: number;
  readonly lagging: readonly string[];
}

const isTokenValid = (expected: string, header: string | undefined): boolean => {
  const receivedHeader = Buffer.from(header ?? '');
  const expectedHeader = Buffer.from(`Bearer ${expected}`);
  return (
    receivedHeader.length === expectedHeader.length &&
    timingSafeEqual(receivedHeader, expectedHeader)
  );
};

const addReadRoutes = (server: FastifyInstance, node: NodeAdmin): void => {
  server.get('/v1/state', () => node.state());
  server.get('/v1/members', () => ({ members: [...node.members.all()] }));
  server.get('/v1/moves', () => ({ moves: node.moves() }));
  server.get('/metrics', async (_request, reply) => {
    reply.type('text/plain; version=0.0.4');
    return node.metrics();
  });
};

const addFleetQueryRoutes = (server: FastifyInstance, node: NodeAdmin): void => {
  server.get<{ Querystring: { configVersion?: string } }>(
    '/v1/fleet/in-force',
    async (request, reply): Promise<FleetAnswer<ActiveVersionAnswer> | { error: string }> => {
      const configVersion = Number(request.query.configVersion);
      if (!Number.isInteger(configVersion) || configVersion < 1) {
        reply.code(badRequestStatus);
        return { error: 'configVersion must be a whole number from 1' };
      }
      return node.fleetQuery.ask(
        FleetQueryKind.ActiveVersion,
        { configVersion },
        fleetQueryTimeoutMs,
      );
    },
  );
  server.get('/v1/fleet/burn', () =>
    node.fleetQuery.ask(FleetQueryKind.BurnWindows, {}, fleetQueryTimeoutMs),
  );
};

const addChangeRoutes = (server: FastifyInstance, node: NodeAdmin): void => {
  server.post('/v1/backend-server/announce', async (request, reply) => {
    try {
      if (node.receiveAnnouncement(readAnnouncement(request.body))) return { accepted: true };
      reply.code(conflictStatus);
      return { error: 'the backend server drained a moment ago; announce it again' };
    } catch (error) {
      if (!(error instanceof NodeError)) throw error;
      reply.code(badRequestStatus);
      return { error: error.message };
    }
  });
  server.post('/v1/backend-server/drain', async () => {
    node.drain();
    return { accepted: true };
  });
};

/**
 * Creates the admin interface; the caller makes it listen. If `token` is not empty, every request
 * must carry it.
 *
 * @example
 * const admin = createAdminInterface(node, '');
 * await admin.listen({ host: '127.0.0.1', port: 9100 });
 */
export const createAdminInterface = (node: NodeAdmin, token: string): FastifyInstance => {
  const server = fastify();
  if (token !== '') {
    server.addHook('onRequest', async (request, reply) => {
      if (isTokenValid(token, request.headers.authorization)) return;
      await reply.code(unauthorizedStatus).send({ error: 'a valid bearer token is required' });
    });
  }
  addReadRoutes(server, node);
  addFleetQueryRoutes(server, node);
  addChangeRoutes(server, node);
  return server;
};
