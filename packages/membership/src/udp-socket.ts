import { createSocket } from 'node:dgram';
import { createMembershipError } from './create-membership-error.js';
import type { DatagramSocket } from './datagram-socket.js';

/** Large enough to hold a burst of pushes while the event loop is blocked for some 100 ms. */
const receiveBufferBytes = 1024 * 1024;

/**
 * Datagram socket over UDP.
 *
 * @example
 * const socket = new UdpSocket();
 * const gossipPort = await socket.bind(0, '127.0.0.1');
 */
export class UdpSocket implements DatagramSocket {
  readonly #socket = createSocket({ type: 'udp4', recvBufferSize: receiveBufferBytes });

  #isClosed = false;

  #lastSend = Promise.resolve();

  /** Resolves with the bound port; rejects with `MembershipError` if the address is in use. */
  bind(port: number, address: string): Promise<number> {
    return new Promise((resolve, reject) => {
      const onError = (cause: Error): void => {
        reject(createMembershipError(`Cannot bind UDP ${address}:${port}`, cause));
      };
      this.#socket.once('error', onError);
      this.#socket.bind(port, address, () => {
        this.#socket.off('error', onError);
        // A failed send is equivalent to a lost datagram, which gossip tolerates.
        this.#socket.on('error', () => undefined);
        resolve(this.#socket.address().port);
      });
    });
  }

  send(bytes: Uint8Array, port: number, address: string): void {
    if (this.#isClosed) return;
    this.#lastSend = new Promise((resolve) => {
      this.#socket.send(bytes, port, address, () => resolve());
    });
  }

  /** Resolves once the datagrams sent so far were handed to the system, which sends them in order. */
  flush(): Promise<void> {
    return this.#lastSend;
  }

  onMessage(handler: (bytes: Uint8Array) => void): void {
    this.#socket.on('message', handler);
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#socket.close();
  }
}
