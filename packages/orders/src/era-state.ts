import { eraOf } from '@sequoiafield/store';
import { monotonicNowMs } from '@sequoiafield/tables';

/**
 * Time from the first sight of an era after which an entry that the store still lacks is withdrawn. The
 * operators write again by then what the restored copy lacks.
 */
const unconfirmedMaxMs = 15_000;
/**
 * Peers that a node without knowledge of the former eras asks for it. It bounds the requests of a fleet
 * that starts at once, in which no node has any.
 */
const peerAnswersMax = 3;

/** What a node knows about the current era of the store. */
export class EraState {
  #era = 0;

  #startRevision = 0;

  #formerRevision = 0;

  #firstSeenAtMs = 0;

  #peerAnswers = 0;

  /** Current era of the store; 0 if it names none. */
  get era(): number {
    return this.#era;
  }

  /**
   * Lowest revision that the store is known to have had in the era. It is not below the copy's, so that
   * entries above it were written in the era.
   */
  get startRevision(): number {
    return this.#startRevision;
  }

  /** Revision up to which this node knows the entries of the former eras; 0 if it knows none. */
  get formerRevision(): number {
    return this.#formerRevision;
  }

  /** Time in ms since this node, or a peer whose age of the era it received, first saw the era. */
  get ageMs(): number {
    return monotonicNowMs() - this.#firstSeenAtMs;
  }

  /** Whether an entry of a former era that the store lacks counts as withdrawn. */
  get isSettled(): boolean {
    return this.#era > 0 && this.ageMs >= unconfirmedMaxMs;
  }

  /** Whether this node read the store before any peer sent it entries of the former eras. */
  get isUninformed(): boolean {
    return this.#era > 0 && this.#formerRevision === 0 && this.#peerAnswers < peerAnswersMax;
  }

  /** Begins a later era; `formerRevision` is the revision up to which this node was complete. */
  enter(startRevision: number, formerRevision: number, ageMs: number): void {
    this.#era = eraOf(startRevision);
    this.#startRevision = startRevision;
    this.#formerRevision = formerRevision;
    this.#firstSeenAtMs = monotonicNowMs() - ageMs;
  }

  /** Adopts what a peer or an answer of the store shows about the current era. */
  learn(startRevision: number, ageMs: number): void {
    this.#startRevision = Math.min(this.#startRevision, startRevision);
    this.#firstSeenAtMs = Math.min(this.#firstSeenAtMs, monotonicNowMs() - ageMs);
  }

  /** Records that this node has the entries of former eras up to a revision. */
  learnFormer(revision: number): void {
    if (eraOf(revision) < this.#era)
      this.#formerRevision = Math.max(this.#formerRevision, revision);
  }

  notePeerAnswer(): void {
    this.#peerAnswers += 1;
  }
}
