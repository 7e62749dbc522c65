/** Calls that run now; a drain waits for them. Tests replace it. */
export interface CallTracker {
  readonly size: number;
  /** Whether a call with this request id runs. */
  has(requestId: string): boolean;
  /** Counts a call as running until the returned function is called. */
  begin(requestId: string): () => void;
  /** Resolves once no call runs. */
  whenIdle(): Promise<void>;
}
