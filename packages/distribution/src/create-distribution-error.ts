import { DistributionError } from '@sequoiafield/errors';

/** Creates a `DistributionError`, typed as `Error`; `cause` is the error of the layer below. */
export const createDistributionError = (message: string, cause?: unknown): Error =>
  new DistributionError(message, cause === undefined ? {} : { cause });
