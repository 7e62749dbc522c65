import { DistributionError } from '@sequoiafield/errors';

/** The content of a configuration version is invalid; fetching it again cannot succeed. */
export const RejectedSnapshotError = DistributionError.subclass('RejectedSnapshotError');

/** Creates a `RejectedSnapshotError`, typed as `Error`. */
export const createRejectedSnapshotError = (message: string, cause?: unknown): Error =>
  new RejectedSnapshotError(message, cause === undefined ? {} : { cause });
