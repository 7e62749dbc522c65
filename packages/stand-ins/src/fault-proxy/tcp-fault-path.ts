import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { ChunkGate } from './chunk-gate.js';
import { FaultDirection, FaultMode, noFault, type Fault, type FaultPath } from './fault.js';

interface ProxiedConnection {
  readonly sockets: readonly [Socket, Socket];
  readonly gates: readonly [ChunkGate, ChunkGate];
}

/** TCP path between clients and one server. */
export class TcpFaultPath implements FaultPath {
  readonly #connections = new Set<ProxiedConnection>();

  readonly #server: Server;

  #fault: Fault = noFault;

  constructor(
    readonly name: string,
    private readonly wantedPort: number,
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
      this.#server.listen(this.wantedPort, '127.0.0.1', resolve);
    });
  }

  setFault(fault: Fault): void {
    this.#fault = fault;
    if (fault.mode === FaultMode.Cut) {
      [...this.#connections].forEach((connection) => this.#close(connection));
      return;
    }
    this.#connections.forEach(({ gates }) => gates.forEach((gate) => gate.setFault(fault)));
  }

  stop(): Promise<void> {
    [...this.#connections].forEach((connection) => this.#close(connection));
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #open(client: Socket): void {
    if (this.#fault.mode === FaultMode.Cut) {
      client.destroy();
      return;
    }
    const server = connect(this.targetPort, this.targetAddress);
    const toServer = new ChunkGate(FaultDirection.ToServer, (chunk) => server.write(chunk));
    const toClient = new ChunkGate(FaultDirection.ToClient, (chunk) => client.write(chunk));
    const connection: ProxiedConnection = {
      sockets: [client, server],
      gates: [toServer, toClient],
    };
    // Only connections that are open when the fault starts go silent.
    if (this.#fault.mode !== FaultMode.Silent) {
      connection.gates.forEach((gate) => gate.setFault(this.#fault));
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
