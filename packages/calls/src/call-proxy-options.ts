import type { Logger } from '@sequoiafield/logger';
import type { RandomSource } from '@sequoiafield/tables';
import type { AttemptSequence } from '@sequoiafield/transport';
import type {
  CallSender,
  ClientLimits,
  EvidenceRecorder,
  MemberAnnouncement,
  RolloutView,
  Router,
  SnapshotView,
} from '@sequoiafield/types';
import type { CallSummary } from './call-summary.js';
import type { CallProtocol } from './call-protocol.js';
import type { BackendCallReceiver } from './call-receiver.js';
import type { RetryPolicy } from './retry-policy.js';

/** What a call path needs. */
export interface CallProxyOptions {
  /** This node; `callPort` 0 lets the system choose a port. */
  readonly self: MemberAnnouncement;
  readonly snapshots: Pick<SnapshotView, 'isServing'> & {
    current(): { readonly configVersion: number } | undefined;
  };
  readonly router: Router;
  readonly rollout: RolloutView;
  readonly evidence: EvidenceRecorder;
  /** Receiving side of this node, also used directly when this node is chosen. */
  readonly receiver: BackendCallReceiver;
  readonly sender: CallSender;
  /** Numbers of attempts, shared with the transport. */
  readonly sequence: AttemptSequence;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** `SafeRetryPolicy` unless a test replaces it. */
  readonly retryPolicy?: RetryPolicy;
  /** `DefaultCallProtocol` unless given. */
  readonly protocol?: CallProtocol;
  /** Limits of callers' connections; the defaults of this package while they are unknown. */
  readonly clientLimits?: () => ClientLimits | undefined;
  /** Service of the machine at which calls begin; empty if unknown. */
  readonly callerService?: () => string;
  /** Told how each call ended. */
  readonly onEnded?: (end: CallSummary) => void;
}
