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

/** Minimum interval between two requests for a newer head that datagrams of peers announce. */
const headRequestMinIntervalMs = 100;

/** Dependencies of `RegisterRepair`. */
export interface RegisterRepairDependencies {
  readonly members: MembersTable;
  readonly registers: RegisterTable;
}

/** Sends the repair datagrams within the byte budget of the node. */
export interface RepairSender {
  hasBytesLeft(): boolean;
  send(type: GossipMessageType, to: GossipAddress, options: DatagramOptions): void;
}

/**
 * Repairs registers that a push missed: compares them with each peer that sends a datagram, and
 * exchanges summaries and the entries that either side lacks.
 *
 * @example
 * const repair = new RegisterRepair({ members, registers }, sender);
 * repair.compare(message);
 */
export class RegisterRepair {
  #headRequestedAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly dependencies: RegisterRepairDependencies,
    private readonly sender: RepairSender,
  ) {}

  /** Compares registers with the sender, pushes a head that it lacks and sends a summary. */
  compare(message: GossipMessage): void {
    const { members, registers } = this.dependencies;
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

  /** Answers a summary with the entries that the peer lacks and requests those that are newer there. */
  answerSummary(message: GossipMessage): void {
    const peer = this.dependencies.members.get(message.fromId);
    const summary = parseRegisterSummary(message.argument);
    if (!peer) return;
    const items = encodeMissingEntries(this.dependencies.registers, summary, message.headRank);
    if (items.length > 0) this.sender.send(GossipMessageType.Push, peer, { items });
    if (isBehind(this.dependencies.registers, summary) && !summary.isReply)
      this.#sendSummary(peer, true);
  }

  /**
   * Requests the head from the sender of a datagram that announces a newer one. The push misses each
   * node with a probability of e^-4; without this request such a node would wait for the next probe.
   */
  #requestHead(peer: GossipRow): void {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#headRequestedAtMs < headRequestMinIntervalMs) return;
    this.#headRequestedAtMs = nowMs;
    this.#sendSummary(peer, true, true);
  }

  /** Sends a summary; one that is not required only if the byte budget has bytes left. */
  #sendSummary(peer: GossipRow, isReply: boolean, isRequired = false): void {
    if (!isRequired && !this.sender.hasBytesLeft()) return;
    const argument = summarizeRegisters(this.dependencies.registers, isReply);
    this.sender.send(GossipMessageType.RegisterSummary, peer, { argument });
  }
}
