import type { CallRefusal } from '@sequoiafield/types';

/** How a call ended, for the log. */
export interface CallSummary {
  readonly requestId: string;
  readonly route: string;
  readonly service: string;
  /** Status that the caller got. */
  readonly status: number;
  /** Members that were asked, in order. */
  readonly memberIds: readonly string[];
  /** Attempts that reached a backend server, or may have. */
  readonly sentToServers: number;
  readonly configVersion: number;
  readonly tookMs: number;
  readonly refusal: CallRefusal | undefined;
}
