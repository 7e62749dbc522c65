import { logEvents, type Logger } from '@sequoiafield/logger';
import {
  StoreOutcomeUnknownError,
  type LeaseStore,
  type StoreItem,
  type WriteCondition,
} from '@sequoiafield/store';
import { monotonicNowMs, type RandomSource, type System } from '@sequoiafield/tables';
import { takesNewWork, type MemberView } from '@sequoiafield/types';
import { CandidateSelector } from './candidate-selector.js';
import { LeaseClock, readClocks } from './lease-clock.js';
import { RecordWatch } from './record-watch.js';

/** Share of the lease after which it is renewed, so that two renewals may fail. */
const renewalShare = 1 / 3;
/** Delay before a failed renewal is repeated. */
const renewalRetryMs = 250;
/** Mean delay before a failed attempt to take the duty is repeated; jittered by 50 % up and down. */
const attemptRetryMs = 400;
/** Delay per rank, so that the first candidate usually makes the only attempt. */
const delayPerRankMs = 300;
/**
 * Leases for which a node waits after the end of its holding, and after it saw that the store was
 * restored. A holder that another node has not seen end has then ended by its own clocks.
 */
const waitingLeases = 1.5;

/** Failures of the store are logged no more often than this. */
const failureLogIntervalMs = 5000;

/** Why a holding ended. */
export enum HoldingEnd {
  /** The lease may be over by the clocks of this process. */
  OwnClocks = 'own-clocks',
  /** The store says that the lease has ended. */
  LeaseEnded = 'lease-ended',
  /** The record is gone or names another write. */
  RecordChanged = 'record-changed',
  /** A receiver of the duty's work has seen a later holder. */
  Superseded = 'superseded',
}

/** Time in which this node holds a duty. */
export interface DutyHolding {
  /** Fencing token: the revision of the record, greater for each later holding. */
  readonly token: number;
  /** Condition of a write that takes effect only while the store has this holder's record. */
  readonly condition: WriteCondition;
  /** Whether the duty is held for `durationMs` more; a call starts only if its whole timeout fits. */
  isHeldFor(durationMs: number): boolean;
}

/** Dependencies and options of a `SingleHolderDuty`. */
export interface SingleHolderDutyOptions {
  /** Name of the duty, by which its candidates are selected. */
  readonly name: string;
  /** Key of the record in the store. */
  readonly key: string;
  readonly leaseMs: number;
  /** Start of this process, which distinguishes its writes from those of a former one. */
  readonly incarnation: number;
  readonly members: MemberView;
  readonly store: LeaseStore;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** Attempt to take the duty; `value` is unique in the fleet. */
interface Attempt {
  readonly value: Uint8Array;
  readonly leaseId: number;
  readonly clock: LeaseClock;
}

interface Holding extends Attempt {
  readonly token: number;
}

/**
 * Duty that one node of the fleet holds at a time: the one whose record the store has. The record is
 * written under a lease, on the condition that there is none, and disappears with the lease. The holder
 * ends by its own clocks before that, and never gives the lease back early.
 *
 * @example
 * const duty = new SingleHolderDuty({ name: 'usage', key: 'sequoiafield/duty/usage', ...rest });
 * const holding = duty.holding();
 * if (holding?.isHeldFor(timeoutMs)) await report(holding.token);
 */
export class SingleHolderDuty implements System {
  readonly name: string;

  readonly counters = { taken: 0, ended: 0 };

  readonly #candidates: CandidateSelector;

  readonly #watch: RecordWatch;

  #holding: Holding | undefined;

  /** Last attempt whose outcome is not known. */
  #pending: Attempt | undefined;

  #attempts = 0;

  #isBusy = false;

  #failureLoggedAtMs = Number.NEGATIVE_INFINITY;

  #nextAttemptAtMs = 0;

  #nextRenewalAtMs = 0;

  #absentSinceMs: number | undefined;

  #knownEra = 0;

  constructor(private readonly options: SingleHolderDutyOptions) {
    this.name = `duty ${options.name}`;
    this.#candidates = new CandidateSelector(options.name, options.members);
    this.#watch = new RecordWatch({
      ...{ key: options.key, waitMs: options.leaseMs, store: options.store },
      random: options.random,
      onFailed: (error) => this.#logFailure(error),
    });
  }

  /** Wall-clock time at which this node first saw the era of the store; undefined in era 0. */
  get eraSeenAtUnixMs(): number | undefined {
    return this.#watch.eraSeenAtUnixMs;
  }

  /** Returns the holding of this node, or undefined. */
  holding(): DutyHolding | undefined {
    this.#checkHolding();
    const holding = this.#holding;
    return (
      holding && {
        token: holding.token,
        condition: { key: this.options.key, revision: holding.token },
        isHeldFor: (durationMs) =>
          holding === this.#holding && holding.clock.isValidFor(durationMs),
      }
    );
  }

  /** Ends the holding with this token for a reason that the duty itself cannot see. */
  endHolding(token: number, reason: HoldingEnd): void {
    if (this.#holding?.token === token) this.#end(reason);
  }

  run(): void {
    this.#checkHolding();
    const rank = this.#candidates.rank();
    if (!this.#holding && rank === undefined) {
      this.#watch.forget();
      this.#absentSinceMs = undefined;
      return;
    }
    this.#watch.run();
    this.#followEra();
    if (this.#holding) this.#renewIfDue(this.#holding);
    else if (rank !== undefined) this.#takeIfFree(rank);
  }

  /** Ends the holding if its lease may be over or its record is gone. */
  #checkHolding(): void {
    const holding = this.#holding;
    if (!holding) return;
    const { known } = this.#watch;
    const isCurrent = known !== undefined && known.storeRevision >= holding.token;
    if (!holding.clock.isValidFor(0)) this.#end(HoldingEnd.OwnClocks);
    else if (isCurrent && known.item?.revision !== holding.token)
      this.#end(HoldingEnd.RecordChanged);
  }

  /** After the store was restored, waits until every holder of the former era has ended. */
  #followEra(): void {
    const { era } = this.#watch;
    if (era === this.#knownEra) return;
    this.#knownEra = era;
    this.#waitLeases();
  }

  #waitLeases(): void {
    this.#nextAttemptAtMs = monotonicNowMs() + waitingLeases * this.options.leaseMs;
  }

  #renewIfDue(holding: Holding): void {
    const nowMs = monotonicNowMs();
    const isDue =
      holding.clock.elapsedMs() >= this.options.leaseMs * renewalShare &&
      nowMs >= this.#nextRenewalAtMs;
    if (this.#isBusy || !isDue || !this.#mayGoOn()) return;
    this.#nextRenewalAtMs = nowMs + renewalRetryMs;
    this.#runCall(() => this.#renew(holding));
  }

  /** A node that stops lets its lease run out while it still answers. */
  #mayGoOn(): boolean {
    const { members } = this.options;
    const state = members.get(members.selfId)?.state;
    return state !== undefined && takesNewWork(state);
  }

  async #renew(holding: Holding): Promise<void> {
    const sentAt = readClocks();
    const lease = await this.options.store.renewLease(holding.leaseId);
    this.#checkHolding();
    if (this.#holding !== holding) return;
    if (lease) holding.clock.restart(sentAt);
    else this.#end(HoldingEnd.LeaseEnded);
  }

  #takeIfFree(rank: number): void {
    const nowMs = monotonicNowMs();
    if (this.#adoptPending()) return;
    const { known } = this.#watch;
    if (!known || known.item) this.#absentSinceMs = undefined;
    else this.#absentSinceMs ??= nowMs;
    if (this.#absentSinceMs === undefined || this.#isBusy || this.#pending) return;
    if (nowMs < Math.max(this.#nextAttemptAtMs, this.#absentSinceMs + rank * delayPerRankMs))
      return;
    this.#nextAttemptAtMs = nowMs + attemptRetryMs * (0.5 + this.options.random.next());
    this.#runCall(() => this.#take());
  }

  /** Holds the duty if the record turns out to be that of an attempt whose answer was lost. */
  #adoptPending(): boolean {
    if (!this.#pending) return false;
    const item = this.#watch.known?.item;
    if (item && this.#isOwn(item, this.#pending)) this.#begin(this.#pending, item.revision);
    else if (!this.#pending.clock.isValidFor(0)) this.#pending = undefined;
    return this.#holding !== undefined;
  }

  async #take(): Promise<void> {
    const { store, key, leaseMs, members, incarnation } = this.options;
    const clockStart = readClocks();
    const lease = await store.grantLease(leaseMs);
    this.#attempts += 1;
    const content = { holder: members.selfId, incarnation, attempt: this.#attempts };
    const attempt: Attempt = {
      value: Buffer.from(JSON.stringify(content)),
      leaseId: lease.leaseId,
      clock: new LeaseClock(Math.min(leaseMs, lease.ttlMs), clockStart),
    };
    try {
      const result = await store.commit({
        conditions: [{ key, revision: 0 }],
        writes: [{ key, value: attempt.value, leaseId: lease.leaseId }],
      });
      if (result.kind === 'written') this.#begin(attempt, result.revision);
      else await this.#watch.refresh();
    } catch (error) {
      if (!(error instanceof StoreOutcomeUnknownError)) throw error;
      this.#pending = attempt;
      await this.#watch.refresh();
    }
  }

  #isOwn(item: StoreItem, attempt: Attempt): boolean {
    return Buffer.compare(item.value, attempt.value) === 0;
  }

  #begin(attempt: Attempt, token: number): void {
    this.#pending = undefined;
    if (!attempt.clock.isValidFor(0)) return;
    this.#holding = { ...attempt, token };
    this.#absentSinceMs = undefined;
    this.counters.taken += 1;
    this.options.logger.log(logEvents.dutyTaken, { duty: this.options.name, token });
  }

  #end(reason: HoldingEnd): void {
    const { token } = this.#holding!;
    this.#holding = undefined;
    this.counters.ended += 1;
    this.#waitLeases();
    this.options.logger.log(logEvents.dutyEnded, { duty: this.options.name, token, reason });
  }

  /** Makes a call to the store; one at a time besides the watch. */
  #runCall(call: () => Promise<void>): void {
    this.#isBusy = true;
    call()
      .catch((error: unknown) => this.#logFailure(error))
      .finally(() => {
        this.#isBusy = false;
      });
  }

  #logFailure(error: unknown): void {
    const nowMs = monotonicNowMs();
    if (nowMs - this.#failureLoggedAtMs < failureLogIntervalMs) return;
    this.#failureLoggedAtMs = nowMs;
    const fields = { duty: this.options.name, error: String(error) };
    this.options.logger.log(logEvents.dutyStoreFailed, fields);
  }
}
