import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { MemberState } from '@sequoiafield/types';
import type { Gossip } from './gossip.js';
import { isLiveState, type GossipRow } from './gossip-row.js';
import type { KnownMembersSummary, MembersTable } from './members-table.js';
import type { GossipPeerSelector } from './gossip-peer-selector.js';
import type { SuspicionPolicy } from './policies.js';
import type { SuspicionTracker } from './suspicion-tracker.js';
import { encodeRow, encodeStateRumour, GossipMessageType, type GossipMessage } from './wire.js';

interface Probe {
  readonly target: GossipRow;
  readonly incarnation: number;
  readonly refutation: number;
  readonly sentAtMs: number;
  /** Ids of the relaying members that did not reach the target either. */
  readonly nacks: Set<string>;
  isIndirect: boolean;
}

/** Probe that this node sends on behalf of another. */
interface RelayedProbe {
  readonly origin: GossipRow;
  readonly originSequence: number;
  readonly sentAtMs: number;
}

const probeIntervalMs = 1000;
const ackTimeoutMs = 300;
const relayTimeoutMs = 400;
const probeTimeoutMs = 1000;
/**
 * Interval at which one dead or left member is probed, so that a healed partition is detected without
 * an operator and a node that restarts while the store is unavailable learns its peers.
 */
const departedProbeIntervalMs = 2000;
/**
 * Number of other members in the own data centre at which half of the probes stay there; the more there
 * are, the more probes stay, since bytes between data centres are paid for. Each member is still probed
 * about once a second.
 */
const nearMembersForHalf = 3;
/** A node that received no ack for longer is assumed to be isolated and reports no suspicion. */
const isolationTimeoutMs = 3500;

const encodeSummary = ({ count, hash }: KnownMembersSummary): readonly number[] => [count, hash];

/** Returns undefined if the argument is no summary; nodes of earlier versions send none. */
const parseSummary = (argument: unknown): KnownMembersSummary | undefined => {
  if (!Array.isArray(argument) || !argument.every(Number.isInteger)) return undefined;
  const [count, hash] = argument as readonly number[];
  return count === undefined || hash === undefined ? undefined : { count, hash };
};

/**
 * Probes members, requests indirect probes of those that do not answer, and answers probes.
 *
 * @example
 * const prober = new Prober(members, gossip, suspicions, peerSelector, policy, random, onKnowsMore);
 * prober.run(tick);
 */
export class Prober implements System {
  readonly name = 'prober';

  readonly #probes = new Map<number, Probe>();

  readonly #relayedProbes = new Map<number, RelayedProbe>();

  /** Members to probe next: of the own data centre, and of the whole fleet. */
  #nearOrder: string[] = [];

  #fleetOrder: string[] = [];

  /** Other members of the own data centre when their order was made. */
  #nearCount = 0;

  #sequence = 0;

  #nextProbeAtMs = 0;

  #nextDepartedProbeAtMs = 0;

  #lastAckAtMs = Number.NEGATIVE_INFINITY;

  /** Start of the period without an ack; a pause restarts it, since no datagram was read meanwhile. */
  #noAckSinceMs = monotonicNowMs();

  constructor(
    private readonly members: MembersTable,
    private readonly gossip: Gossip,
    private readonly suspicions: SuspicionTracker,
    private readonly peerSelector: GossipPeerSelector,
    private readonly policy: SuspicionPolicy,
    private readonly random: RandomSource,
    /** Called when a member that answered a probe knows members that this node does not know. */
    private readonly onKnowsMore: (peer: GossipRow) => void,
  ) {
    gossip.on(GossipMessageType.Ping, (message) => this.#onPing(message));
    gossip.on(GossipMessageType.Ack, (message) => this.#onAck(message));
    gossip.on(GossipMessageType.PingRequest, (message) => this.#onPingRequest(message));
    gossip.on(GossipMessageType.IndirectAck, (message) => this.#onIndirectAck(message));
    gossip.on(GossipMessageType.Nack, (message) => {
      this.#probes.get(message.sequence)?.nacks.add(message.fromId);
    });
    this.#nextProbeAtMs = monotonicNowMs() + random.next() * probeIntervalMs;
  }

  /** Time of the last ack to a probe of this node; minus infinity before the first. */
  get lastAckAtMs(): number {
    return this.#lastAckAtMs;
  }

  run(tick: Tick): void {
    if (tick.wasPaused) {
      // Acks that arrived during the pause were not read, so these probes have no result.
      this.#probes.clear();
      this.#relayedProbes.clear();
      this.#noAckSinceMs = tick.nowMs;
    }
    this.#checkProbes(tick.nowMs);
    this.#checkRelayedProbes(tick.nowMs);
    if (tick.nowMs >= this.#nextProbeAtMs) {
      this.#nextProbeAtMs = Math.max(this.#nextProbeAtMs + probeIntervalMs, tick.nowMs);
      this.#probeNext(tick.nowMs);
    }
    if (tick.nowMs >= this.#nextDepartedProbeAtMs) {
      this.#nextDepartedProbeAtMs = tick.nowMs + departedProbeIntervalMs;
      this.#probeDeparted();
    }
  }

  /** Sends one probe outside the interval; a joining node pings its seeds this way. */
  pingAddress(to: { address: string; gossipPort: number }): void {
    this.gossip.send(GossipMessageType.Ping, to, { items: [encodeRow(this.gossip.ownRow())] });
  }

  #probeNext(nowMs: number): void {
    const target = this.#nextTarget();
    if (!target) return;
    const { incarnation, refutation } = target;
    const sequence = this.#ping(target);
    this.#probes.set(sequence, {
      target,
      incarnation,
      refutation,
      sentAtMs: nowMs,
      nacks: new Set(),
      isIndirect: false,
    });
  }

  #nextTarget(): GossipRow | undefined {
    if (this.#nearOrder.length === 0) {
      this.#nearOrder = this.#shuffledIds(true);
      this.#nearCount = this.#nearOrder.length;
    }
    const nearShare = this.#nearCount / (this.#nearCount + nearMembersForHalf);
    const near = this.random.next() < nearShare ? this.#takeLive(this.#nearOrder) : undefined;
    if (near) return near;
    const target = this.#takeLive(this.#fleetOrder);
    if (target) return target;
    this.#fleetOrder = this.#shuffledIds(false);
    return this.#takeLive(this.#fleetOrder);
  }

  /** Takes the next live member of an order, which is renewed after each has been probed. */
  #takeLive(order: string[]): GossipRow | undefined {
    for (let id = order.pop(); id !== undefined; id = order.pop()) {
      const row = this.members.get(id);
      if (row && isLiveState(row.state)) return row;
    }
    return undefined;
  }

  /** Returns the ids of the other live members of the own data centre or the fleet in random order. */
  #shuffledIds(isNearOnly: boolean): string[] {
    const { self } = this.members;
    const ids = this.members
      .live()
      .filter((row) => row.id !== self.id && (!isNearOnly || row.dataCentre === self.dataCentre))
      .map((row) => row.id);
    for (let index = ids.length - 1; index > 0; index--) {
      const otherIndex = this.random.nextInt(index + 1);
      const id = ids[index] as string;
      ids[index] = ids[otherIndex] as string;
      ids[otherIndex] = id;
    }
    return ids;
  }

  #probeDeparted(): void {
    const departed = [...this.members.rows.rows()].filter(
      ({ state }) => state === MemberState.Dead || state === MemberState.Left,
    );
    const target = departed[this.random.nextInt(departed.length)];
    if (target) this.#ping(target);
  }

  #ping(target: GossipRow): number {
    this.#sequence += 1;
    const refutableState = this.#encodeRefutableState(target);
    this.gossip.send(GossipMessageType.Ping, target, {
      sequence: this.#sequence,
      argument: target.id,
      items: [encodeRow(this.gossip.ownRow()), ...refutableState],
      hasRumours: true,
    });
    return this.#sequence;
  }

  /** Encodes the known state of a member if it is one that the member has to refute. */
  #encodeRefutableState(target: { id: string }): Uint8Array[] {
    const known = this.members.knownState(target.id);
    if (!known || (known.state !== MemberState.Suspect && known.state !== MemberState.Dead)) {
      return [];
    }
    return [encodeStateRumour({ ...known, id: target.id, observers: [] })];
  }

  #onPing(message: GossipMessage): void {
    const sender = this.members.get(message.fromId);
    // A process does not answer for another one that used its address before.
    const isAddressed = message.argument === null || message.argument === this.members.selfId;
    if (!sender || !isAddressed) return;
    this.gossip.send(GossipMessageType.Ack, sender, {
      sequence: message.sequence,
      argument: encodeSummary(this.members.summary()),
      items: [encodeRow(this.gossip.ownRow()), ...this.#encodeRefutableState(sender)],
      hasRumours: true,
    });
  }

  #onAck(message: GossipMessage): void {
    this.#compareMembers(message);
    const relayedProbe = this.#relayedProbes.get(message.sequence);
    if (relayedProbe) {
      this.#relayedProbes.delete(message.sequence);
      this.gossip.send(GossipMessageType.IndirectAck, relayedProbe.origin, {
        sequence: relayedProbe.originSequence,
      });
      return;
    }
    const probe = this.#probes.get(message.sequence);
    if (!probe || probe.target.id !== message.fromId) return;
    this.#probes.delete(message.sequence);
    this.#lastAckAtMs = monotonicNowMs();
    this.#noAckSinceMs = this.#lastAckAtMs;
  }

  /** A peer that knows fewer members compares for itself when this node answers its probe. */
  #compareMembers({ fromId, argument }: GossipMessage): void {
    const peer = this.members.get(fromId);
    const known = parseSummary(argument);
    const own = this.members.summary();
    if (peer && known && known.hash !== own.hash && known.count >= own.count)
      this.onKnowsMore(peer);
  }

  #onPingRequest(message: GossipMessage): void {
    const origin = this.members.get(message.fromId);
    const target = this.members.get(String(message.argument));
    if (!origin || !target) return;
    const sequence = this.#ping(target);
    this.#relayedProbes.set(sequence, {
      origin,
      originSequence: message.sequence,
      sentAtMs: monotonicNowMs(),
    });
  }

  #onIndirectAck(message: GossipMessage): void {
    this.#probes.delete(message.sequence);
  }

  #checkRelayedProbes(nowMs: number): void {
    for (const [sequence, relayedProbe] of this.#relayedProbes) {
      if (nowMs - relayedProbe.sentAtMs >= relayTimeoutMs) {
        this.#relayedProbes.delete(sequence);
        this.gossip.send(GossipMessageType.Nack, relayedProbe.origin, {
          sequence: relayedProbe.originSequence,
        });
      }
    }
  }

  #checkProbes(nowMs: number): void {
    for (const [sequence, probe] of this.#probes) {
      const ageMs = nowMs - probe.sentAtMs;
      if (ageMs >= probeTimeoutMs) {
        this.#probes.delete(sequence);
        this.#reportSuspicion(probe, nowMs);
      } else if (ageMs >= ackTimeoutMs && !probe.isIndirect) {
        probe.isIndirect = true;
        this.#requestIndirectProbes(sequence, probe);
      }
    }
  }

  #requestIndirectProbes(sequence: number, probe: Probe): void {
    const excluded = new Set([probe.target.id]);
    for (const relay of this.peerSelector.pick(this.policy.indirectProbes, true, excluded)) {
      const argument = probe.target.id;
      this.gossip.send(GossipMessageType.PingRequest, relay, { sequence, argument });
    }
  }

  #reportSuspicion(probe: Probe, nowMs: number): void {
    const isIsolated =
      nowMs - this.#noAckSinceMs > isolationTimeoutMs && this.members.fleetSize() > 3;
    if (isIsolated) return;
    const { target, incarnation, refutation, nacks } = probe;
    const observers = [this.members.selfId, ...nacks];
    if (!this.suspicions.report(target.id, incarnation, refutation, observers)) return;
    const knownObservers = this.suspicions.observersOf(target.id);
    this.gossip.spreadState(target, MemberState.Suspect, knownObservers);
    // The suspected member has to receive the suspicion early, so that it can refute it in time.
    this.#ping(target);
  }
}
