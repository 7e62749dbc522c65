import { EvidenceSource } from './knee-hypothesis.js';
import { KneeModel } from './knee-model.js';

/** Expected gain from which on the settled limit changes. */
const changeGainMin = 0.02;
/** Calls that begin in a phase before the next one; a phase also lasts for the mean latency. */
const phaseCallsMin = 6;
/** Share of calls that begin at the limit from which on the limit is binding. */
const bindingShare = 0.6;
const bindingWeight = 0.1;
/**
 * Work, in ms of all slots, that trials of other limits may be expected to lose: at first, at most and
 * regained as a share of the time. It bounds what callers pay for the exploration.
 */
const trialBudgetFirstMs = 200;
const trialBudgetMaxMs = 200;
const trialBudgetShare = 0.007;
/** Lowest next limit as a share of the settled one, so that a wrong one is soon corrected. */
const nextLimitShareMin = 0.5;
/** Answers after a trial that are compared with those of the trial. */
const comparedSamples = 40;
/** Step of the sequence of numbers in [0, 1) that draws limits; it fills the interval evenly. */
const rollStep = (Math.sqrt(5) - 1) / 2;

/**
 * Selects the limit by a `KneeModel`. While the limit is binding, phases of some calls run with the
 * best limit of one way of slowing down, drawn by its probability (Thompson sampling), as far as the
 * budget for trials permits. None is tried while no calls wait.
 *
 * @example
 * const selector = new LimitSelector(6);
 * selector.admissionLimit;
 */
export class LimitSelector {
  readonly model: KneeModel;

  /** Limit that is best as far as is known. */
  settledLimit: number;

  /** Limit of this phase. */
  admissionLimit: number;

  #phaseCalls = 0;

  #phaseStartedAtMs: number | undefined;

  #bindingShare = 0;

  #trialBudgetMs = trialBudgetFirstMs;

  #roll = 0;

  #samplesSinceTrial = Number.POSITIVE_INFINITY;

  constructor(readonly slots: number) {
    this.model = new KneeModel(slots);
    this.settledLimit = slots;
    this.admissionLimit = slots;
  }

  /** Records that a call begins while others run. */
  recordBegin(runningCalls: number): void {
    const isAtLimit = runningCalls + 1 >= this.admissionLimit;
    this.#bindingShare += (Number(isAtLimit) - this.#bindingShare) * bindingWeight;
    this.#phaseCalls += 1;
  }

  /** Records an answered call; `meanMs` is the present mean latency. */
  recordAnswer(runningCalls: number, logRatio: number, meanMs: number, nowMs: number): void {
    this.model.add(runningCalls, logRatio, this.#evidenceSource());
    const best = this.model.bestLimit();
    const gain = this.model.valueOf(best) - this.model.valueOf(this.settledLimit);
    if (gain > changeGainMin) this.settledLimit = Math.max(best, this.#lowestLimit());
    this.#phaseStartedAtMs ??= nowMs;
    const phaseMs = nowMs - this.#phaseStartedAtMs;
    if (this.#phaseCalls < phaseCallsMin || phaseMs < meanMs) return;
    this.#payForPhase(phaseMs);
    this.#phaseCalls = 0;
    this.#phaseStartedAtMs = nowMs;
    this.admissionLimit = this.#nextLimit();
  }

  /** Calls that end soon after a phase with another limit are compared with those that ran in it. */
  #evidenceSource(): EvidenceSource {
    if (this.admissionLimit === this.settledLimit) this.#samplesSinceTrial += 1;
    else this.#samplesSinceTrial = 0;
    const isTested =
      this.#bindingShare >= bindingShare && this.#samplesSinceTrial < comparedSamples;
    return isTested ? EvidenceSource.Tested : EvidenceSource.Observed;
  }

  #nextLimit(): number {
    if (this.#bindingShare < bindingShare) return this.settledLimit;
    this.#roll = (this.#roll + rollStep) % 1;
    const drawn = Math.max(this.#lowestLimit(), this.model.drawLimit(this.#roll));
    const isFree = this.#expectedLossOf(drawn) <= 0;
    return isFree || this.#trialBudgetMs > 0 ? drawn : this.settledLimit;
  }

  #lowestLimit(): number {
    return Math.ceil(this.settledLimit * nextLimitShareMin);
  }

  #payForPhase(phaseMs: number): void {
    const lossMs = this.#expectedLossOf(this.admissionLimit) * phaseMs;
    const budgetMs = this.#trialBudgetMs + trialBudgetShare * phaseMs - lossMs;
    this.#trialBudgetMs = Math.min(trialBudgetMaxMs, budgetMs);
  }

  #expectedLossOf(limit: number): number {
    return Math.max(0, this.model.valueOf(this.settledLimit) - this.model.valueOf(limit));
  }
}
