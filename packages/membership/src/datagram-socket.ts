/** Sends and receives datagrams; tests replace it by a fake network. */
export interface DatagramSocket {
  /** Binds and resolves with the port in use; port 0 lets the system choose. */
  bind(port: number, address: string): Promise<number>;
  send(bytes: Uint8Array, port: number, address: string): void;
  onMessage(handler: (bytes: Uint8Array) => void): void;
  close(): void;
}
