import type { Logger } from '@sequoiafield/logger';
import type { RandomSource } from '@sequoiafield/tables';
import type { AttemptSequence } from '@sequoiafield/transport';
import type {
  CallSender,
  ClientLimits,
  EvidenceRecorder,
  KeyChecker,
  MemberAnnouncement,
  RolloutView,
  Router,
  SnapshotView,
} from '@sequoiafield/types';
import type { BodyMemory } from './body-memory.js';
import type { CallSummary } from './call-summary.js';
import type { CallProtocol } from './call-protocol.js';
import type { BackendCallReceiver } from './call-receiver.js';
import type { RetryPolicy } from './retry-policy.js';

/** Dependencies and options of a `CallProxy`. */
export interface CallProxyOptions {
  /** This node; `callPort` 0 lets the system choose a port. */
  readonly self: MemberAnnouncement;
  readonly snapshots: Pick<SnapshotView, 'isServing'> & {
    current(): { readonly configVersion: number } | undefined;
    /** Whether this node knows that there is a newer configuration than the active one. */
    isOutdated?(): boolean;
  };
  readonly router: Router;
  readonly rollout: RolloutView;
  readonly evidence: EvidenceRecorder;
  /**
   * Receiving side of this node; called directly, without a link, if the router chooses this node.
   */
  readonly receiver: BackendCallReceiver;
  readonly sender: CallSender;
  /** Sequence numbers of attempts, shared with the transport. */
  readonly sequence: AttemptSequence;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** `SafeRetryPolicy` by default. */
  readonly retryPolicy?: RetryPolicy;
  /** `DefaultCallProtocol` by default. */
  readonly protocol?: CallProtocol;
  /** Checks the keys of requests; without it, no request needs one. */
  readonly keyChecker?: KeyChecker;
  /** Limits of callers' connections; built-in defaults apply while it returns undefined. */
  readonly clientLimits?: () => ClientLimits | undefined;
  /** Memory for bodies; a fixed one by default. */
  readonly bodyMemory?: BodyMemory;
  /** Service of the machine at which calls start; empty if unknown. */
  readonly callerService?: () => string;
  /** Called with the summary of each call that ended. */
  readonly onEnded?: (summary: CallSummary) => void;
}
