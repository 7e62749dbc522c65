import { createSocket, type RemoteInfo, type Socket } from 'node:dgram';
import { SeededRandom, type RandomSource } from '@sequoiafield/tables';
import {
  FaultDirection,
  PathFaultMode,
  resolveClientFault,
  affectsDirection,
  noFault,
  type PathFault,
  type ProxyPath,
} from './path-fault.js';

type Deliver = () => void;

/** Proxied UDP path to one server, with one socket per client, so that replies reach the client. */
export class UdpProxyPath implements ProxyPath {
  readonly #server: Socket = createSocket('udp4');

  readonly #clients = new Map<string, Socket>();

  readonly #random: RandomSource;

  #fault: PathFault = noFault;

  #heldDatagrams: Deliver[] = [];

  constructor(
    readonly name: string,
    private readonly requestedPort: number,
    /** The path listens on the address of its target. */
    private readonly targetAddress: string,
    private readonly targetPort: number,
    seed: number,
  ) {
    this.#random = new SeededRandom(seed);
  }

  get listenPort(): number {
    return this.#server.address().port;
  }

  start(): Promise<void> {
    this.#server.on('message', (message, client) => {
      const serverSocket = this.#clientSocket(client);
      this.#applyFault(client, FaultDirection.ToServer, () => {
        serverSocket.send(message, this.targetPort, this.targetAddress);
      });
    });
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.bind(this.requestedPort, this.targetAddress, resolve);
    });
  }

  setFault(fault: PathFault): void {
    this.#fault = fault;
    const heldDatagrams = this.#heldDatagrams;
    this.#heldDatagrams = [];
    heldDatagrams.forEach((deliver) => deliver());
  }

  stop(): Promise<void> {
    this.#clients.forEach((socket) => socket.close());
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #clientSocket(client: RemoteInfo): Socket {
    const key = `${client.address}:${client.port}`;
    const existing = this.#clients.get(key);
    if (existing) return existing;
    const socket = createSocket('udp4');
    socket.on('message', (message) => {
      this.#applyFault(client, FaultDirection.ToClient, () => {
        this.#server.send(message, client.port, client.address);
      });
    });
    socket.on('error', () => undefined);
    this.#clients.set(key, socket);
    return socket;
  }

  #applyFault(client: RemoteInfo, direction: FaultDirection, deliver: Deliver): void {
    const fault = resolveClientFault(this.#fault, client.address);
    if (!affectsDirection(fault, direction)) {
      deliver();
      return;
    }
    switch (fault.mode) {
      case PathFaultMode.Cut:
      case PathFaultMode.Silent:
        return;
      case PathFaultMode.Drop:
        if (this.#random.next() < fault.dropShare) return;
        break;
      case PathFaultMode.Freeze:
        this.#heldDatagrams.push(deliver);
        return;
      case PathFaultMode.Reorder:
        if (this.#heldDatagrams.length === 0) {
          this.#heldDatagrams.push(deliver);
          return;
        }
        deliver();
        this.#heldDatagrams.shift()?.();
        return;
      case PathFaultMode.Duplicate:
        deliver();
        break;
      default:
    }
    if (fault.delayMs > 0) setTimeout(deliver, fault.delayMs);
    else deliver();
  }
}
