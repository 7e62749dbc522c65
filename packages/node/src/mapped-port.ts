import { UdpSocket, type DatagramSocket } from '@sequoiafield/membership';

/** UDP socket that binds one port and reports another, for nodes behind a port mapping. */
export class MappedPort implements DatagramSocket {
  readonly #socket = new UdpSocket();

  constructor(private readonly boundPort: number) {}

  async bind(advertisedPort: number, address: string): Promise<number> {
    await this.#socket.bind(this.boundPort, address);
    return advertisedPort;
  }

  send(bytes: Uint8Array, port: number, address: string): void {
    this.#socket.send(bytes, port, address);
  }

  flush(): Promise<void> {
    return this.#socket.flush();
  }

  onMessage(handler: (bytes: Uint8Array) => void): void {
    this.#socket.onMessage(handler);
  }

  close(): void {
    this.#socket.close();
  }
}
