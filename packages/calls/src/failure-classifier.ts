import type { CallRefusal, RefusalReason } from '@sequoiafield/types';
import { createNotRunRefusal, createUnknownOutcomeRefusal } from './refusals.js';

/** Classifies a failed request as not run or of unknown outcome; replaceable in tests. */
export interface FailureClassifier {
  classify(wasWritten: boolean, reason: RefusalReason, detail: string): CallRefusal;
}

/**
 * Classifies a failed request as not run only if nothing of it was written to the backend server.
 */
export class WrittenFailureClassifier implements FailureClassifier {
  classify(wasWritten: boolean, reason: RefusalReason, detail: string): CallRefusal {
    return wasWritten
      ? createUnknownOutcomeRefusal(reason, detail)
      : createNotRunRefusal(reason, detail);
  }
}
