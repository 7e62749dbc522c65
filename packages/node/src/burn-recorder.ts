import type { BurnTracker } from '@sequoiafield/burn';
import type { CallEvidence, EvidenceRecorder } from '@sequoiafield/types';

/** Forwards call outcomes to the rollout and counts them towards the service-level objectives. */
export class BurnRecorder implements EvidenceRecorder {
  constructor(
    private readonly rollout: EvidenceRecorder,
    private readonly burn: Pick<BurnTracker, 'record'>,
  ) {}

  recordEnded(evidence: CallEvidence): void {
    this.rollout.recordEnded(evidence);
    this.burn.record(evidence.service, evidence.hasFailed, evidence.latencyMs);
  }

  recordUnanswered(service: string, route: string, backendVersion: string, memberId: string): void {
    this.rollout.recordUnanswered(service, route, backendVersion, memberId);
    this.burn.record(service, true, Number.POSITIVE_INFINITY);
  }
}
