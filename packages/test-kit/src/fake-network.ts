import type { RandomSource } from '@sequoiafield/tables';
import type { LinkRequestKind, LinkRequester, MemberAnnouncement } from '@sequoiafield/types';

type DatagramHandler = (bytes: Uint8Array) => void;
type LinkHandler = (body: unknown, fromId: string) => unknown;

/** State of one node in the fake network. */
interface FakeNode {
  readonly address: string;
  id: string;
  receive: DatagramHandler;
  readonly handlers: Map<LinkRequestKind, LinkHandler>;
  isUp: boolean;
  isFrozen: boolean;
  readonly queuedDeliveries: (() => void)[];
}

/** Faults that apply to every datagram and link request. */
export interface NetworkFaults {
  /** Additional one-way delay. */
  delayMs: number;
  /** Largest additional random delay; it reorders datagrams. */
  jitterMs: number;
  duplicateShare: number;
  lossShare: number;
}

const baseLatencyMs = 2;

/**
 * Carries datagrams and link requests between nodes of one process, with delays on the paused clock.
 *
 * @example
 * const network = new FakeNetwork(new SeededRandom(1));
 * const socket = network.port('10.0.0.1');
 * network.cut('10.0.0.1', '10.0.0.2');
 */
export class FakeNetwork {
  readonly faults: NetworkFaults = { delayMs: 0, jitterMs: 0, duplicateShare: 0, lossShare: 0 };

  /** Called when a node sends a link request, before any fault applies. */
  onRequest: (fromId: string, kind: LinkRequestKind, toId: string) => void = () => undefined;

  readonly #nodes = new Map<string, FakeNode>();

  readonly #cutPaths = new Set<string>();

  constructor(private readonly random: RandomSource) {}

  /** Returns the datagram socket of the node at an address. */
  port(address: string): {
    bind(port: number): Promise<number>;
    send(bytes: Uint8Array, port: number, to: string): void;
    flush(): Promise<void>;
    onMessage(handler: DatagramHandler): void;
    close(): void;
  } {
    const node = this.#nodeAt(address);
    node.isUp = true;
    return {
      bind: (port) => Promise.resolve(port || 7000),
      send: (bytes, _, to) => this.#sendDatagram(node, to, Uint8Array.from(bytes)),
      flush: () => Promise.resolve(),
      onMessage: (handler) => {
        node.receive = handler;
      },
      close: () => {
        node.isUp = false;
      },
    };
  }

  /** Returns the link requester of the node at an address. */
  links(address: string, id: string): LinkRequester {
    const node = this.#nodeAt(address);
    node.id = id;
    node.handlers.clear();
    return {
      request: (member, kind, body, timeoutMs) =>
        this.#request(node, member, kind, body, timeoutMs),
      handle: (kind, handler) => {
        node.handlers.set(kind, handler);
      },
    };
  }

  /**
   * Drops everything sent from one address to another, and in the other direction unless
   * `isOneWay`.
   */
  cut(from: string, to: string, isOneWay = false): void {
    this.#cutPaths.add(`${from} ${to}`);
    if (!isOneWay) this.#cutPaths.add(`${to} ${from}`);
  }

  healAll(): void {
    this.#cutPaths.clear();
  }

  kill(address: string): void {
    this.#nodeAt(address).isUp = false;
  }

  /**
   * Freezes a node: it sends and receives nothing, and what arrives is queued, as in a socket
   * buffer.
   */
  freeze(address: string): void {
    this.#nodeAt(address).isFrozen = true;
  }

  thaw(address: string): void {
    const node = this.#nodeAt(address);
    node.isFrozen = false;
    for (const deliver of node.queuedDeliveries.splice(0)) deliver();
  }

  #nodeAt(address: string): FakeNode {
    const existing = this.#nodes.get(address);
    if (existing) return existing;
    const node: FakeNode = {
      address,
      id: '',
      receive: () => undefined,
      handlers: new Map(),
      isUp: true,
      isFrozen: false,
      queuedDeliveries: [],
    };
    this.#nodes.set(address, node);
    return node;
  }

  #sendDatagram(from: FakeNode, to: string, bytes: Uint8Array): void {
    if (this.random.next() < this.faults.lossShare) return;
    const copies = this.random.next() < this.faults.duplicateShare ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      this.#deliver(from, to, (node) => node.receive(bytes));
    }
  }

  #deliver(from: FakeNode, to: string, action: (node: FakeNode) => void): void {
    if (!from.isUp || from.isFrozen) return;
    const latencyMs =
      baseLatencyMs + this.faults.delayMs + this.random.next() * this.faults.jitterMs;
    setTimeout(() => {
      const node = this.#nodes.get(to);
      if (!node?.isUp || this.#cutPaths.has(`${from.address} ${to}`)) return;
      if (node.isFrozen) node.queuedDeliveries.push(() => action(node));
      else action(node);
    }, latencyMs);
  }

  #request(
    from: FakeNode,
    member: MemberAnnouncement,
    kind: LinkRequestKind,
    body: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    this.onRequest(from.id, kind, member.id);
    return new Promise((resolve, reject) => {
      setTimeout(
        () => reject(new Error(`No answer from ${member.id} within ${timeoutMs} ms`)),
        timeoutMs,
      );
      this.#deliver(from, member.address, async (node) => {
        const handler = node.handlers.get(kind);
        if (!handler) return;
        try {
          const answer: unknown = await handler(structuredClone(body), from.id);
          const copy: unknown = structuredClone(answer);
          this.#deliver(node, from.address, () => resolve(copy));
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      });
    });
  }
}
