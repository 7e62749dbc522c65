/** Sends and receives datagrams; tests replace it by a fake network. */
export interface DatagramSocket {
  /** Binds the socket and resolves with the bound port; port 0 lets the system choose one. */
  bind(port: number, address: string): Promise<number>;
  send(bytes: Uint8Array, port: number, address: string): void;
  /** Resolves once the datagrams sent so far were handed to the system. */
  flush(): Promise<void>;
  onMessage(handler: (bytes: Uint8Array) => void): void;
  close(): void;
}
