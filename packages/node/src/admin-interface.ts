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

/** What the admin interface shows and changes; the node implements it. */
export interface NodeAdmin {
  readonly members: MemberView;
  readonly fleetQuery: FleetQuery;
  state(): Readonly<Record<string, unknown>>;
  moves(): readonly MoveStatus[];
  metrics(): Promise<string>;
  /** False if the backend server drained a moment ago and has to announce itself again. */
  receiveAnnouncement(announcement: BackendServerAnnouncement): boolean;
  drain(): void;
}

/** Answer of one node to the question whether a configuration is in force. */
export interface ActiveVersionAnswer {
  readonly inForce: number;
  readonly lagging: readonly string[];
}

const isTokenRight = (expected: string, header: string | undefined): boolean => {
  const received = Buffer.from(header ?? '');
  const wanted = Buffer.from(`Bearer ${expected}`);
  return received.length === wanted.length && timingSafeEqual(received, wanted);
};

const addReads = (server: FastifyInstance, source: NodeAdmin): void => {
  server.get('/v1/state', () => source.state());
  server.get('/v1/members', () => ({ members: [...source.members.all()] }));
  server.get('/v1/moves', () => ({ moves: source.moves() }));
  server.get('/metrics', async (_request, reply) => {
    reply.type('text/plain; version=0.0.4');
    return source.metrics();
  });
};

const addFleetQueries = (server: FastifyInstance, source: NodeAdmin): void => {
  server.get<{ Querystring: { configVersion?: string } }>(
    '/v1/fleet/in-force',
    async (request, reply): Promise<FleetAnswer<ActiveVersionAnswer> | { error: string }> => {
      const configVersion = Number(request.query.configVersion);
      if (!Number.isInteger(configVersion) || configVersion < 1) {
        reply.code(badRequestStatus);
        return { error: 'configVersion must be a whole number from 1' };
      }
      return source.fleetQuery.ask(
        FleetQueryKind.ActiveVersion,
        { configVersion },
        fleetQueryTimeoutMs,
      );
    },
  );
  server.get('/v1/fleet/burn', () =>
    source.fleetQuery.ask(FleetQueryKind.BurnWindows, {}, fleetQueryTimeoutMs),
  );
};

const addChanges = (server: FastifyInstance, source: NodeAdmin): void => {
  server.post('/v1/backend-server/announce', async (request, reply) => {
    try {
      if (source.receiveAnnouncement(readAnnouncement(request.body))) return { accepted: true };
      reply.code(conflictStatus);
      return { error: 'the backend server drained a moment ago; announce it again' };
    } catch (error) {
      if (!(error instanceof NodeError)) throw error;
      reply.code(badRequestStatus);
      return { error: error.message };
    }
  });
  server.post('/v1/backend-server/drain', async () => {
    source.drain();
    return { accepted: true };
  });
};

/**
 * Creates the admin interface; the caller listens on it. With a token every request must carry it.
 *
 * @example
 * const admin = createAdminInterface(node, '');
 * await admin.listen({ host: '127.0.0.1', port: 9100 });
 */
export const createAdminInterface = (source: NodeAdmin, token: string): FastifyInstance => {
  const server = fastify();
  if (token !== '') {
    server.addHook('onRequest', async (request, reply) => {
      if (isTokenRight(token, request.headers.authorization)) return;
      await reply.code(unauthorizedStatus).send({ error: 'a valid bearer token is required' });
    });
  }
  addReads(server, source);
  addFleetQueries(server, source);
  addChanges(server, source);
  return server;
};
