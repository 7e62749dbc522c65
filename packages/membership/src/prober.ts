import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { MemberState } from '@sequoiafield/types';
import type { Gossip } from './gossip.js';
import { isLiveState, type GossipRow } from './gossip-row.js';
import type { MembersTable } from './members-table.js';
import type { GossipPeerSelector } from './gossip-peer-selector.js';
import type { SuspicionPolicy } from './policies.js';
import type { SuspicionTracker } from './suspicion-tracker.js';
import { encodeRow, encodeStateRumour, GossipMessageType, type GossipMessage } from './wire.js';

interface Probe {
  readonly target: GossipRow;
  readonly incarnation: number;
  readonly refutation: number;
  readonly sentAtMs: number;
  /** Helpers that did not reach the target either. */
  readonly nacks: Set<string>;
  isIndirect: boolean;
}

/** Probe that this node sends on behalf of another. */
interface HelpedProbe {
  readonly origin: GossipRow;
  readonly originSequence: number;
  readonly sentAtMs: number;
}

const probeIntervalMs = 1000;
const ackTimeoutMs = 300;
const helpTimeoutMs = 400;
const verdictMs = 1000;
/**
 * One member that is dead or left is probed this often, so that a healed partition is noticed without
 * an operator, and a node that restarts while the store is away learns of its peers.
 */
const departedProbeIntervalMs = 2000;
/** A node that heard no ack for this long is cut off itself and suspects nobody. */
const deafMs = 3500;

/**
 * Probes members, asks others to probe silent ones, and answers probes.
 *
 * @example
 * const prober = new Prober(members, gossip, suspicions, picker, policy, random);
 * prober.run(tick);
 */
export class Prober implements System {
  readonly name = 'prober';

  readonly #probes = new Map<number, Probe>();

  readonly #helped = new Map<number, HelpedProbe>();

  #order: string[] = [];

  #sequence = 0;

  #nextProbeAtMs = 0;

  #nextDepartedProbeAtMs = 0;

  #ackedAtMs = Number.NEGATIVE_INFINITY;

  /** Start of the time without an ack; a pause restarts it, since nothing could be heard. */
  #deafSinceMs = monotonicNowMs();

  constructor(
    private readonly members: MembersTable,
    private readonly gossip: Gossip,
    private readonly suspicions: SuspicionTracker,
    private readonly picker: GossipPeerSelector,
    private readonly policy: SuspicionPolicy,
    private readonly random: RandomSource,
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
    return this.#ackedAtMs;
  }

  run(tick: Tick): void {
    if (tick.wasPaused) {
      // Acks that arrived during the pause were not read, so these probes say nothing.
      this.#probes.clear();
      this.#helped.clear();
      this.#deafSinceMs = tick.nowMs;
    }
    this.#reviewProbes(tick.nowMs);
    this.#reviewHelped(tick.nowMs);
    if (tick.nowMs >= this.#nextProbeAtMs) {
      this.#nextProbeAtMs = Math.max(this.#nextProbeAtMs + probeIntervalMs, tick.nowMs);
      this.#probeNext(tick.nowMs);
    }
    if (tick.nowMs >= this.#nextDepartedProbeAtMs) {
      this.#nextDepartedProbeAtMs = tick.nowMs + departedProbeIntervalMs;
      this.#probeDeparted();
    }
  }

  /** Sends one probe outside the interval; a joining node greets its seeds so. */
  pingAddress(to: { address: string; gossipPort: number }): void {
    this.gossip.send(GossipMessageType.Ping, to, { items: [encodeRow(this.gossip.ownRow())] });
  }

  #probeNext(nowMs: number): void {
    const target = this.#takeTarget();
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

  /** Next live member in a random order in which each comes once before any comes again. */
  #takeTarget(): GossipRow | undefined {
    for (let round = 0; round < 2; round++) {
      while (this.#order.length > 0) {
        const row = this.members.get(this.#order.pop() as string);
        if (row && isLiveState(row.state)) return row;
      }
      this.#order = this.members
        .live()
        .map((row) => row.id)
        .filter((id) => id !== this.members.selfId);
      for (let index = this.#order.length - 1; index > 0; index--) {
        const other = this.random.nextInt(index + 1);
        const id = this.#order[index] as string;
        this.#order[index] = this.#order[other] as string;
        this.#order[other] = id;
      }
    }
    return undefined;
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
    const belief = this.#beliefItems(target);
    this.gossip.send(GossipMessageType.Ping, target, {
      sequence: this.#sequence,
      argument: target.id,
      items: [encodeRow(this.gossip.ownRow()), ...belief],
      hasRumours: true,
    });
    return this.#sequence;
  }

  /** What the target has to refute, if anything. */
  #beliefItems(target: { id: string }): Uint8Array[] {
    const belief = this.members.knownState(target.id);
    if (!belief || (belief.state !== MemberState.Suspect && belief.state !== MemberState.Dead)) {
      return [];
    }
    return [encodeStateRumour({ ...belief, id: target.id, observers: [] })];
  }

  #onPing(message: GossipMessage): void {
    const sender = this.members.get(message.fromId);
    // A process that took over the address of another does not answer for it.
    const isAddressed = message.argument === null || message.argument === this.members.selfId;
    if (!sender || !isAddressed) return;
    this.gossip.send(GossipMessageType.Ack, sender, {
      sequence: message.sequence,
      items: [encodeRow(this.gossip.ownRow()), ...this.#beliefItems(sender)],
      hasRumours: true,
    });
  }

  #onAck(message: GossipMessage): void {
    const helped = this.#helped.get(message.sequence);
    if (helped) {
      this.#helped.delete(message.sequence);
      this.gossip.send(GossipMessageType.IndirectAck, helped.origin, {
        sequence: helped.originSequence,
      });
      return;
    }
    const probe = this.#probes.get(message.sequence);
    if (!probe || probe.target.id !== message.fromId) return;
    this.#probes.delete(message.sequence);
    this.#ackedAtMs = monotonicNowMs();
    this.#deafSinceMs = this.#ackedAtMs;
  }

  #onPingRequest(message: GossipMessage): void {
    const origin = this.members.get(message.fromId);
    const target = this.members.get(String(message.argument));
    if (!origin || !target) return;
    const sequence = this.#ping(target);
    this.#helped.set(sequence, {
      origin,
      originSequence: message.sequence,
      sentAtMs: monotonicNowMs(),
    });
  }

  #onIndirectAck(message: GossipMessage): void {
    this.#probes.delete(message.sequence);
  }

  #reviewHelped(nowMs: number): void {
    for (const [sequence, helped] of this.#helped) {
      if (nowMs - helped.sentAtMs >= helpTimeoutMs) {
        this.#helped.delete(sequence);
        this.gossip.send(GossipMessageType.Nack, helped.origin, {
          sequence: helped.originSequence,
        });
      }
    }
  }

  #reviewProbes(nowMs: number): void {
    for (const [sequence, probe] of this.#probes) {
      const ageMs = nowMs - probe.sentAtMs;
      if (ageMs >= verdictMs) {
        this.#probes.delete(sequence);
        this.#suspect(probe, nowMs);
      } else if (ageMs >= ackTimeoutMs && !probe.isIndirect) {
        probe.isIndirect = true;
        this.#askHelpers(sequence, probe);
      }
    }
  }

  #askHelpers(sequence: number, probe: Probe): void {
    const excluded = new Set([probe.target.id]);
    for (const helper of this.picker.pick(this.policy.indirectProbes, true, excluded)) {
      const argument = probe.target.id;
      this.gossip.send(GossipMessageType.PingRequest, helper, { sequence, argument });
    }
  }

  #suspect(probe: Probe, nowMs: number): void {
    const isDeaf = nowMs - this.#deafSinceMs > deafMs && this.members.fleetSize() > 3;
    if (isDeaf) return;
    const { target, incarnation, refutation, nacks } = probe;
    const observers = [this.members.selfId, ...nacks];
    if (!this.suspicions.report(target.id, incarnation, refutation, observers)) return;
    const spread = this.suspicions.observersOf(target.id);
    this.gossip.spreadState(target, MemberState.Suspect, spread);
    // The suspect itself has to hear it first, so that it can refute in time.
    this.#ping(target);
  }
}
