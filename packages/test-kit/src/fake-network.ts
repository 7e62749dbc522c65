import type { RandomSource } from '@sequoiafield/tables';
import type { LinkRequestKind, LinkRequester, MemberAnnouncement } from '@sequoiafield/types';

type DatagramHandler = (bytes: Uint8Array) => void;
type LinkHandler = (body: unknown, fromId: string) => unknown;

/** One node's place in the fake network. */
interface Station {
  readonly address: string;
  id: string;
  receive: DatagramHandler;
  readonly handlers: Map<LinkRequestKind, LinkHandler>;
  isUp: boolean;
  isFrozen: boolean;
  readonly heldBack: (() => void)[];
}

/** Faults that apply to every datagram and link request. */
export interface NetworkFaults {
  /** Added one-way delay. */
  delayMs: number;
  /** Largest random delay on top, which reorders datagrams. */
  jitterMs: number;
  duplicateShare: number;
  lossShare: number;
}

const baseLatencyMs = 2;

/**
 * Datagrams and link requests between nodes of one process, on the paused clock.
 *
 * @example
 * const network = new FakeNetwork(new SeededRandom(1));
 * const port = network.port('10.0.0.1');
 * network.cut('10.0.0.1', '10.0.0.2');
 */
export class FakeNetwork {
  readonly faults: NetworkFaults = { delayMs: 0, jitterMs: 0, duplicateShare: 0, lossShare: 0 };

  /** Called when a node sends a link request, before any fault applies. */
  onRequest: (fromId: string, kind: LinkRequestKind, toId: string) => void = () => undefined;

  readonly #stations = new Map<string, Station>();

  readonly #cuts = new Set<string>();

  constructor(private readonly random: RandomSource) {}

  /** Datagram port of the node at an address. */
  port(address: string): {
    bind(port: number): Promise<number>;
    send(bytes: Uint8Array, port: number, to: string): void;
    onMessage(handler: DatagramHandler): void;
    close(): void;
  } {
    const station = this.#station(address);
    station.isUp = true;
    return {
      bind: (port) => Promise.resolve(port || 7000),
      send: (bytes, _, to) => this.#sendDatagram(station, to, Uint8Array.from(bytes)),
      onMessage: (handler) => {
        station.receive = handler;
      },
      close: () => {
        station.isUp = false;
      },
    };
  }

  /** Link requests of the node at an address. */
  links(address: string, id: string): LinkRequester {
    const station = this.#station(address);
    station.id = id;
    station.handlers.clear();
    return {
      request: (member, kind, body, timeoutMs) =>
        this.#request(station, member, kind, body, timeoutMs),
      handle: (kind, handler) => {
        station.handlers.set(kind, handler);
      },
    };
  }

  /** Drops everything from one address to another, and back unless `isOneWay`. */
  cut(from: string, to: string, isOneWay = false): void {
    this.#cuts.add(`${from} ${to}`);
    if (!isOneWay) this.#cuts.add(`${to} ${from}`);
  }

  healAll(): void {
    this.#cuts.clear();
  }

  kill(address: string): void {
    this.#station(address).isUp = false;
  }

  /** A frozen node receives nothing; what arrives waits, as in a socket buffer. */
  freeze(address: string): void {
    this.#station(address).isFrozen = true;
  }

  thaw(address: string): void {
    const station = this.#station(address);
    station.isFrozen = false;
    for (const deliver of station.heldBack.splice(0)) deliver();
  }

  #station(address: string): Station {
    const known = this.#stations.get(address);
    if (known) return known;
    const station: Station = {
      address,
      id: '',
      receive: () => undefined,
      handlers: new Map(),
      isUp: true,
      isFrozen: false,
      heldBack: [],
    };
    this.#stations.set(address, station);
    return station;
  }

  #sendDatagram(from: Station, to: string, bytes: Uint8Array): void {
    if (this.random.next() < this.faults.lossShare) return;
    const copies = this.random.next() < this.faults.duplicateShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      this.#deliver(from, to, (station) => station.receive(bytes));
    }
  }

  #deliver(from: Station, to: string, action: (station: Station) => void): void {
    if (!from.isUp || from.isFrozen) return;
    const latencyMs =
      baseLatencyMs + this.faults.delayMs + this.random.next() * this.faults.jitterMs;
    setTimeout(() => {
      const station = this.#stations.get(to);
      if (!station?.isUp || this.#cuts.has(`${from.address} ${to}`)) return;
      if (station.isFrozen) station.heldBack.push(() => action(station));
      else action(station);
    }, latencyMs);
  }

  #request(
    from: Station,
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    this.onRequest(from.id, kind, member.id);
    return new Promise((resolve, reject) => {
      setTimeout(() => reject(new Error(`No answer of ${member.id}`)), timeoutMs);
      this.#deliver(from, member.address, async (station) => {
        const handler = station.handlers.get(kind);
        if (!handler) return;
        try {
          const answer: unknown = await handler(structuredClone(body), from.id);
          const copy: unknown = structuredClone(answer);
          this.#deliver(station, from.address, () => resolve(copy));
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      });
    });
  }
}
