import { monotonicNowMs } from '@sequoiafield/tables';
import { RegisterKind } from '@sequoiafield/types';
import type { GossipAddress, DatagramOptions } from './gossip.js';
import type { GossipRow } from './gossip-row.js';
import type { MembersTable } from './members-table.js';
import {
  isBehind,
  encodeMissingEntries,
  parseRegisterSummary,
  summarizeRegisters,
} from './register-summary.js';
import { headRegisterKey, type RegisterTable } from './register-table.js';
import { encodeRegister, GossipMessageType, type GossipMessage } from './wire.js';

/** Shortest time between two requests for a head that datagrams of others showed. */
const headRequestIntervalMs = 100;

/** What the repair compares. */
export interface RegisterRepairDependencies {
  readonly members: MembersTable;
  readonly registers: RegisterTable;
}

/** Sends the datagrams of the repair within the byte budget of the node. */
export interface RepairSender {
  hasBudget(): boolean;
  send(type: GossipMessageType, to: GossipAddress, options: DatagramOptions): void;
}

/**
 * Repairs what a push missed: compares the registers with each peer that is heard, and exchanges
 * summaries and the entries that one side lacks.
 *
 * @example
 * const repair = new RegisterRepair({ members, registers }, sender);
 * repair.compare(message);
 */
export class RegisterRepair {
  #headRequestedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly parts: RegisterRepairDependencies,
    private readonly sender: RepairSender,
  ) {}

  /** Compares registers with the sender; pushes a head that it lacks or asks for the rest. */
  compare(message: GossipMessage): void {
    const { members, registers } = this.parts;
    const isExchange =
      message.type === GossipMessageType.Ping || message.type === GossipMessageType.Ack;
    const peer = members.get(message.fromId);
    if (!peer) return;
    if (message.headRank > registers.headRank) this.#requestHead(peer);
    if (!isExchange || message.registerHash === registers.hash) return;
    const head = registers.read(RegisterKind.Head, headRegisterKey);
    if (head && head.rank > message.headRank) {
      this.sender.send(GossipMessageType.Push, peer, { items: [encodeRegister(head)] });
    }
    this.#sendSummary(peer, false);
  }

  /** Answers a summary with the entries that the peer lacks, and asks for those it is ahead in. */
  answerSummary(message: GossipMessage): void {
    const peer = this.parts.members.get(message.fromId);
    const summary = parseRegisterSummary(message.argument);
    if (!peer) return;
    const items = encodeMissingEntries(this.parts.registers, summary, message.headRank);
    if (items.length > 0) this.sender.send(GossipMessageType.Push, peer, { items });
    if (isBehind(this.parts.registers, summary) && !summary.isReply) this.#sendSummary(peer, true);
  }

  /**
   * Asks the sender of any datagram that shows a newer head. The push leaves out each node with a
   * probability of e^-4, and without this such a node would wait for the next probe.
   */
  #requestHead(peer: GossipRow): void {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#headRequestedAtMs < headRequestIntervalMs) return;
    this.#headRequestedAtMs = nowMs;
    this.#sendSummary(peer, true);
  }

  #sendSummary(peer: GossipRow, isReply: boolean): void {
    if (!this.sender.hasBudget()) return;
    const argument = summarizeRegisters(this.parts.registers, isReply);
    this.sender.send(GossipMessageType.RegisterSummary, peer, { argument });
  }
}
