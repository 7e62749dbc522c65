import { DistributionError } from '@sequoiafield/errors';

/** The content of a configuration version is wrong, so that fetching it again changes nothing. */
export const RefusedSnapshotError = DistributionError.subclass('RefusedSnapshotError');

/** The error, typed as `Error`. */
export const refusal = (message: string, cause?: unknown): Error =>
  new RefusedSnapshotError(message, cause === undefined ? {} : { cause });
