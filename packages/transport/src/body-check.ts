/** Decides whether the received bytes of a body are those that were sent. */
export interface BodyCheck {
  /** Returns whether a data frame starts where the previous one ended. */
  continues(offsetBytes: number, receivedBytes: number): boolean;
  /** Returns whether all bytes that the end frame announces were received. */
  isComplete(announcedBytes: number, receivedBytes: number): boolean;
}

/** Accepts only contiguous frames and bodies of the announced length. */
export class ExactBodyCheck implements BodyCheck {
  continues(offsetBytes: number, receivedBytes: number): boolean {
    return offsetBytes === receivedBytes;
  }

  isComplete(announcedBytes: number, receivedBytes: number): boolean {
    return announcedBytes === receivedBytes;
  }
}
