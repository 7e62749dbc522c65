import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** TCP proxy between two transports that a test can silence or cut. */
export class SilenceableProxy {
  #isToTargetSilent = false;

  #isToDialerSilent = false;

  readonly #sockets: Socket[] = [];

  readonly #server: Server;

  constructor(targetPort: number) {
    this.#server = createServer((dialer) => {
      const target = connect(targetPort, '127.0.0.1');
      const isFirst = this.#sockets.length === 0;
      this.#sockets.push(dialer, target);
      dialer.on('data', (bytes) => {
        if (!(isFirst && this.#isToTargetSilent)) target.write(bytes);
      });
      target.on('data', (bytes) => {
        if (!(isFirst && this.#isToDialerSilent)) dialer.write(bytes);
      });
      dialer.on('close', () => target.destroy());
      target.on('close', () => dialer.destroy());
      [dialer, target].forEach((socket) => socket.on('error', () => undefined));
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async start(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  /** Drops the bytes from the dialer on the first connection; later connections work. */
  silenceToTarget(): void {
    this.#isToTargetSilent = true;
  }

  /** Drops the bytes from the target on the first connection; later connections work. */
  silenceToDialer(): void {
    this.#isToDialerSilent = true;
  }

  /** Closes every connection. */
  cut(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  stop(): void {
    this.#server.close();
    this.cut();
  }
}
