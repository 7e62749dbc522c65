/** Decides whether the bytes of a body are the ones that were sent. */
export interface BodyCheck {
  /** Whether a data frame continues the body where the last one ended. */
  continues(offsetBytes: number, receivedBytes: number): boolean;
  /** Whether everything came that the end frame announces. */
  isComplete(announcedBytes: number, receivedBytes: number): boolean;
}

/** Accepts only frames without a gap and bodies of the announced length. */
export class ExactBodyCheck implements BodyCheck {
  continues(offsetBytes: number, receivedBytes: number): boolean {
    return offsetBytes === receivedBytes;
  }

  isComplete(announcedBytes: number, receivedBytes: number): boolean {
    return announcedBytes === receivedBytes;
  }
}
