import type { AddressInfo } from 'node:net';
import fastify from 'fastify';
import type { CommandModule } from 'yargs';
import {
  FaultDirection,
  PathFaultMode,
  noFault,
  type PathFault,
  type ProxyPath,
} from './path-fault.js';
import { TcpProxyPath } from './tcp-proxy-path.js';
import { UdpProxyPath } from './udp-proxy-path.js';

interface FaultProxyArguments {
  controlPort: number;
  path: string[];
  seed: number;
}

interface FaultRequest extends Partial<PathFault> {
  /** Names of the paths, or `*` for all. */
  readonly paths: readonly string[];
}

/**
 * Parses `name=tcp:address:listenPort:targetPort` or `name=udp:...`; the path listens on the
 * address of its target.
 */
const parsePath = (text: string, seed: number): ProxyPath => {
  const match = /^([^=]+)=(tcp|udp):(127[\d.]+):(\d+):(\d+)$/.exec(text);
  if (!match) {
    throw new Error(`Path "${text}" must be NAME=tcp|udp:LOOPBACK_ADDRESS:LISTEN_PORT:TARGET_PORT`);
  }
  const [, name = '', kind, address = '', listenPort, targetPort] = match;
  return kind === 'tcp'
    ? new TcpProxyPath(name, Number(listenPort), address, Number(targetPort))
    : new UdpProxyPath(name, Number(listenPort), address, Number(targetPort), seed);
};

const run = async (options: FaultProxyArguments): Promise<void> => {
  const paths = new Map<string, ProxyPath>();
  for (const text of options.path) {
    const path = parsePath(text, options.seed);
    await path.start();
    paths.set(path.name, path);
  }
  const control = fastify();
  control.get('/paths', () =>
    [...paths.values()].map(({ name, listenPort }) => ({ name, listenPort })),
  );
  control.put<{ Body: FaultRequest }>('/faults', async (request, reply) => {
    const { paths: names, ...fault } = request.body;
    const selected = names.includes('*') ? [...paths.keys()] : names;
    const unknown = selected.filter((name) => !paths.has(name));
    const isModeKnown = Object.values(PathFaultMode).includes(fault.mode ?? PathFaultMode.Pass);
    const isDirectionKnown = Object.values(FaultDirection).includes(
      fault.direction ?? FaultDirection.Both,
    );
    if (unknown.length > 0 || !isModeKnown || !isDirectionKnown) {
      return reply.code(400).send({ error: 'unknown path, mode or direction', unknown });
    }
    selected.forEach((name) => paths.get(name)?.setFault({ ...noFault, ...fault }));
    return { changed: selected };
  });
  await control.listen({ host: '127.0.0.1', port: options.controlPort });
  const { port: controlPort } = control.server.address() as AddressInfo;
  console.log(JSON.stringify({ ready: true, controlPort }));
  process.once('SIGTERM', () => process.exit(0));
};

/** Command `fault-proxy`: runs TCP and UDP paths whose faults are set over HTTP. */
export const faultProxyCommand: CommandModule<object, FaultProxyArguments> = {
  command: 'fault-proxy',
  describe: 'Injects faults between processes',
  builder: (parser) =>
    parser
      .option('control-port', { type: 'number', default: 0 })
      .option('path', { type: 'string', array: true, default: [] as string[] })
      .option('seed', { type: 'number', default: 1 }) as never,
  handler: run,
};
