/** What a proxied path does with traffic. */
export enum PathFaultMode {
  /** Forwards everything. */
  Pass = 'pass',
  /** Closes connections, refuses new ones and drops datagrams. */
  Cut = 'cut',
  /** Discards all bytes of the connections that are open now, permanently; new connections work. */
  Silent = 'silent',
  /** Holds all bytes until the mode changes, then forwards them. */
  Freeze = 'freeze',
  /** Drops datagrams at random. */
  Drop = 'drop',
  /** Sends datagrams twice. */
  Duplicate = 'duplicate',
  /** Holds every second datagram until the next one has been forwarded. */
  Reorder = 'reorder',
}

/** Direction that a fault applies to. */
export enum FaultDirection {
  Both = 'both',
  ToServer = 'to-server',
  ToClient = 'to-client',
}

/** Fault of one proxied path. */
export interface PathFault {
  readonly mode: PathFaultMode;
  readonly direction: FaultDirection;
  /** Added to every chunk or datagram in each affected direction. */
  readonly delayMs: number;
  /** Share of datagrams that `Drop` drops, 0 to 1. */
  readonly dropShare: number;
  /** Only traffic of clients with this IP address is affected; empty for all clients. */
  readonly clientAddress: string;
}

export const noFault: PathFault = {
  mode: PathFaultMode.Pass,
  direction: FaultDirection.Both,
  delayMs: 0,
  dropShare: 1,
  clientAddress: '',
};

/**
 * Returns whether a fault affects a direction.
 *
 * @example
 * affectsDirection({ ...noFault, direction: FaultDirection.Both }, FaultDirection.ToServer); // true
 */
export const affectsDirection = (fault: PathFault, direction: FaultDirection): boolean =>
  fault.direction === FaultDirection.Both || fault.direction === direction;

/**
 * Returns the fault that applies to one client of the path.
 *
 * @example
 * resolveClientFault(fault, '127.0.0.2').mode;
 */
export const resolveClientFault = (fault: PathFault, clientAddress: string): PathFault =>
  fault.clientAddress === '' || fault.clientAddress === clientAddress ? fault : noFault;

/** A proxied path whose fault can be changed while it runs. */
export interface ProxyPath {
  readonly name: string;
  readonly listenPort: number;
  start(): Promise<void>;
  setFault(fault: PathFault): void;
  stop(): Promise<void>;
}
