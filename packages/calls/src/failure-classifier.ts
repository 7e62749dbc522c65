import type { CallRefusal, RefusalReason } from '@sequoiafield/types';
import { createNotRunRefusal, createUnknownOutcomeRefusal } from './refusals.js';

/** Decides what a failed request says about whether it ran; tests replace it. */
export interface FailureClassifier {
  classify(wasWritten: boolean, reason: RefusalReason, detail: string): CallRefusal;
}

/** Only a request of which nothing was written to the backend server did not run. */
export class WrittenFailureClassifier implements FailureClassifier {
  classify(wasWritten: boolean, reason: RefusalReason, detail: string): CallRefusal {
    return wasWritten
      ? createUnknownOutcomeRefusal(reason, detail)
      : createNotRunRefusal(reason, detail);
  }
}
