import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { ChunkForwarder } from './chunk-forwarder.js';
import {
  FaultDirection,
  PathFaultMode,
  resolveClientFault,
  noFault,
  type PathFault,
  type ProxyPath,
} from './path-fault.js';

interface ProxiedConnection {
  readonly clientAddress: string;
  readonly sockets: readonly [Socket, Socket];
  readonly forwarders: readonly [ChunkForwarder, ChunkForwarder];
}

/** Proxied TCP path between clients and one server. */
export class TcpProxyPath implements ProxyPath {
  readonly #connections = new Set<ProxiedConnection>();

  readonly #server: Server;

  #fault: PathFault = noFault;

  constructor(
    readonly name: string,
    private readonly requestedPort: number,
    /** The path listens on the address of its target. */
    private readonly targetAddress: string,
    private readonly targetPort: number,
  ) {
    this.#server = createServer((client) => this.#open(client));
  }

  get listenPort(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  start(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.requestedPort, this.targetAddress, resolve);
    });
  }

  setFault(fault: PathFault): void {
    this.#fault = fault;
    [...this.#connections].forEach((connection) => {
      const clientFault = resolveClientFault(fault, connection.clientAddress);
      if (clientFault.mode === PathFaultMode.Cut) this.#close(connection);
      else connection.forwarders.forEach((forwarder) => forwarder.setFault(clientFault));
    });
  }

  stop(): Promise<void> {
    [...this.#connections].forEach((connection) => this.#close(connection));
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #open(client: Socket): void {
    const clientAddress = client.remoteAddress ?? '';
    const fault = resolveClientFault(this.#fault, clientAddress);
    if (fault.mode === PathFaultMode.Cut) {
      client.destroy();
      return;
    }
    const server = connect(this.targetPort, this.targetAddress);
    const toServer = new ChunkForwarder(FaultDirection.ToServer, (chunk) => server.write(chunk));
    const toClient = new ChunkForwarder(FaultDirection.ToClient, (chunk) => client.write(chunk));
    const connection: ProxiedConnection = {
      clientAddress,
      sockets: [client, server],
      forwarders: [toServer, toClient],
    };
    // Only connections that are already open when the fault is set become silent.
    if (fault.mode !== PathFaultMode.Silent) {
      connection.forwarders.forEach((forwarder) => forwarder.setFault(fault));
    }
    this.#connections.add(connection);
    client.setNoDelay(true);
    server.setNoDelay(true);
    client.on('data', (chunk) => toServer.accept(chunk));
    server.on('data', (chunk) => toClient.accept(chunk));
    connection.sockets.forEach((socket) => {
      socket.on('error', () => this.#close(connection));
      socket.on('close', () => this.#close(connection));
    });
  }

  #close(connection: ProxiedConnection): void {
    this.#connections.delete(connection);
    connection.sockets.forEach((socket) => socket.destroy());
  }
}
