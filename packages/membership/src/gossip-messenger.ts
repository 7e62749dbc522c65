import { DirectMessageKind, type DirectMessenger } from '@sequoiafield/types';
import type { Gossip } from './gossip.js';
import type { MembersTable } from './members-table.js';
import { GossipMessageType, type GossipMessage } from './wire.js';

type DirectHandler = (body: unknown, fromId: string) => void;

/**
 * Sends messages of other packages as single datagrams, which may be lost, repeated or reordered.
 *
 * @example
 * messenger.send('node-7', DirectMessageKind.Evidence, counts);
 */
export class GossipMessenger implements DirectMessenger {
  readonly #handlers = new Map<DirectMessageKind, DirectHandler[]>();

  constructor(
    private readonly members: MembersTable,
    private readonly gossip: Gossip,
  ) {
    gossip.on(GossipMessageType.Direct, (message) => this.#receive(message));
  }

  send(memberId: string, kind: DirectMessageKind, body: unknown): void {
    const member = this.members.get(memberId);
    if (member) this.gossip.send(GossipMessageType.Direct, member, { argument: [kind, body] });
  }

  subscribe(kind: DirectMessageKind, handler: DirectHandler): void {
    const handlers = this.#handlers.get(kind) ?? [];
    handlers.push(handler);
    this.#handlers.set(kind, handlers);
  }

  #receive(message: GossipMessage): void {
    if (!Array.isArray(message.argument)) return;
    const [kind, body] = message.argument;
    for (const handler of this.#handlers.get(kind) ?? []) handler(body, message.fromId);
  }
}
