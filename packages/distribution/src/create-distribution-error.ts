import { DistributionError } from '@sequoiafield/errors';

/** Error of this layer, typed as `Error`; `cause` is the error of the layer below. */
export const createDistributionError = (message: string, cause?: unknown): Error =>
  new DistributionError(message, cause === undefined ? {} : { cause });
