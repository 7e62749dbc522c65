/** Decides whether an attempt of a lost connection is sent again on the next one. */
export interface ResendPolicy {
  mayResend(isIdempotent: boolean, mayHaveRun: boolean): boolean;
}

/** Resends a non-idempotent request only if its open frame was never written. */
export class SafeResendPolicy implements ResendPolicy {
  mayResend(isIdempotent: boolean, mayHaveRun: boolean): boolean {
    return isIdempotent || !mayHaveRun;
  }
}
