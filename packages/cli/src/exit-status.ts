import { ConfigDataError, ConfigRejectedError } from '@sequoiafield/config';
import { CommandError, StoreError } from '@sequoiafield/errors';
import { AcceptConflictError, MoveDecidedError } from '@sequoiafield/store';

/** Exit status of the command. */
export enum ExitStatus {
  Success = 0,
  /** The command failed or timed out, or a move was rolled back. */
  Failed = 1,
  /** The input was rejected; nothing was written. */
  Rejected = 2,
  /** Another operator's configuration was accepted first. */
  Conflict = 3,
  /** The store is unavailable, or it is unknown whether it wrote. */
  StoreUnavailable = 4,
}

/** An argument of the command line is missing or invalid. */
export const UsageError = CommandError.subclass('UsageError');

/**
 * Returns the exit status for an error that ended a command.
 *
 * @example
 * process.exitCode = statusOfError(error);
 */
export const statusOfError = (error: unknown): ExitStatus => {
  if (error instanceof ConfigRejectedError || error instanceof UsageError)
    return ExitStatus.Rejected;
  if (error instanceof MoveDecidedError) return ExitStatus.Rejected;
  if (error instanceof AcceptConflictError) return ExitStatus.Conflict;
  if (error instanceof StoreError || error instanceof ConfigDataError) {
    return ExitStatus.StoreUnavailable;
  }
  return ExitStatus.Failed;
};
