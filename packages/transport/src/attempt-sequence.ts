/**
 * Numbers the attempts of this process; no number is used twice within an incarnation.
 *
 * @example
 * const sequence = new AttemptSequence().next();
 */
export class AttemptSequence {
  #last = 0;

  next(): number {
    this.#last += 1;
    return this.#last;
  }
}
