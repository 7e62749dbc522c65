import { DistributionError } from '@sequoiafield/errors';

/** The content of a configuration version is wrong, so that fetching it again changes nothing. */
export const RejectedSnapshotError = DistributionError.subclass('RejectedSnapshotError');

/** The error, typed as `Error`. */
export const createRejectedSnapshotError = (message: string, cause?: unknown): Error =>
  new RejectedSnapshotError(message, cause === undefined ? {} : { cause });
