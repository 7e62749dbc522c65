import { MembershipError } from '@sequoiafield/errors';

/** Error of this layer, typed as `Error`; `cause` is the error of the layer below. */
export const createMembershipError = (message: string, cause?: unknown): Error =>
  new MembershipError(message, cause === undefined ? {} : { cause });
