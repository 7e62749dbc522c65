import type { CallRefusal } from '@sequoiafield/types';

/** Summary of a call that ended, for the log. */
export interface CallSummary {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  /** HTTP status that was sent to the caller. */
  readonly status: number;
  /** Members that were tried, in order; an attempt may have failed to reach its member. */
  readonly memberIds: readonly string[];
  /** Attempts that reached a backend server, or may have. */
  readonly sentToServers: number;
  readonly configVersion: number;
  readonly tookMs: number;
  readonly refusal: CallRefusal | undefined;
}
