import { monotonicNowMs } from '@sequoiafield/tables';

/** Shed calls in a row after which the server gets none for a while. */
const shedsToPauseCount = 8;
/** First pause, doubled with each shed call that follows one, up to the maximum. */
const pauseFirstMs = 100;
const pauseMaxMs = 1600;

/** How a permitted call ended, as far as it shows whether the server sheds calls. */
export enum CallEnd {
  Answered = 'answered',
  Shed = 'shed',
  /** It failed in another way or was not sent. */
  Other = 'other',
}

/**
 * Pauses calls to a backend server that sheds all of them although its health looks good. The node
 * beside the server sees each of its answers, while a caller in a large fleet meets it once in seconds
 * and spends a retry of the shared budget each time. After a pause one call at a time tries the server.
 *
 * @example
 * if (breaker.remainingMs() > 0) return refusal;
 * const isTrial = breaker.start();
 * breaker.end(CallEnd.Shed, isTrial);
 */
export class ShedBreaker {
  #consecutiveSheds = 0;

  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  #pauseMs = 0;

  #runningTrials = 0;

  /** Time in ms until the server may be tried; 0 if it may be now. */
  remainingMs(): number {
    if (this.#pauseMs === 0) return 0;
    const pauseMs = this.#pausedUntilMs - monotonicNowMs();
    return pauseMs > 0 || this.#runningTrials === 0 ? Math.max(0, pauseMs) : pauseFirstMs;
  }

  /** Records that a call is sent to the server; returns whether it is a trial. */
  start(): boolean {
    if (this.#pauseMs === 0) return false;
    this.#runningTrials += 1;
    return true;
  }

  /** Records the end of a call. */
  end(end: CallEnd, isTrial: boolean): void {
    if (isTrial) this.#runningTrials -= 1;
    if (end === CallEnd.Other) return;
    if (end === CallEnd.Answered) {
      this.#consecutiveSheds = 0;
      this.#pauseMs = 0;
      return;
    }
    this.#consecutiveSheds += 1;
    if (this.#consecutiveSheds < shedsToPauseCount || (this.#pauseMs > 0 && !isTrial)) return;
    this.#pauseMs = Math.min(pauseMaxMs, Math.max(pauseFirstMs, 2 * this.#pauseMs));
    this.#pausedUntilMs = monotonicNowMs() + this.#pauseMs;
  }
}
