import type { PlatformStore } from '@sequoiafield/store';
import type { StoreSettings } from '@sequoiafield/config';
import type { ExitStatus } from './exit-status.js';

/** Result of a command: printed as text or, with `--json`, as one object. */
export interface CommandResult {
  readonly status: ExitStatus;
  /** Fields of the JSON object; their names carry the unit as suffix. */
  readonly data: Readonly<Record<string, unknown>>;
  readonly lines: readonly string[];
  /**
   * True if the lines are still of use to a reader of standard output although the status is not
   * success; they are then written there.
   */
  readonly hasPartialOutput?: boolean;
}

/** Store connection of one command. */
export interface StoreConnection {
  readonly store: PlatformStore;
  close(): Promise<void>;
}

/** Interface of the process that commands use; tests replace it. */
export interface CommandContext {
  readonly env: Readonly<Record<string, string | undefined>>;
  /** Whether standard error is a terminal; progress is shown only there. */
  readonly isTerminal: boolean;
  writeOut(text: string): void;
  writeError(text: string): void;
  connectStore(settings: StoreSettings): StoreConnection;
  /** Name of the operator if `--author` is not given. */
  userName(): string;
  newOperationId(): string;
}
