import { UdpSocket, type DatagramSocket } from '@sequoiafield/membership';

/** Binds one port and announces another, for nodes behind a port mapping. */
export class MappedPort implements DatagramSocket {
  readonly #port = new UdpSocket();

  constructor(private readonly boundPort: number) {}

  async bind(advertisedPort: number, address: string): Promise<number> {
    await this.#port.bind(this.boundPort, address);
    return advertisedPort;
  }

  send(bytes: Uint8Array, port: number, address: string): void {
    this.#port.send(bytes, port, address);
  }

  onMessage(handler: (bytes: Uint8Array) => void): void {
    this.#port.onMessage(handler);
  }

  close(): void {
    this.#port.close();
  }
}
