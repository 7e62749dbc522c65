import { MembershipError } from '@sequoiafield/errors';

/** Creates a `MembershipError`, typed as `Error`; `cause` is the error of the layer below. */
export const createMembershipError = (message: string, cause?: unknown): Error =>
  new MembershipError(message, cause === undefined ? {} : { cause });
