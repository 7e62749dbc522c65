import { StoreError } from '@sequoiafield/errors';
import type { HeadRecord } from '@sequoiafield/types';

/** The store did not answer or refused the request; certainly nothing was written. */
export const StoreNotWrittenError = StoreError.subclass('StoreNotWrittenError');

/** The request was sent and its answer was lost; the write may have taken effect or may still do so. */
export const StoreOutcomeUnknownError = StoreError.subclass('StoreOutcomeUnknownError');

/** The store holds data that this project did not write, or lacks data that a record refers to. */
export const StoreDataError = StoreError.subclass('StoreDataError');

/** A configuration was not accepted; this operation did not change the head. */
export const NotAcceptedError = StoreError.subclass('NotAcceptedError');

/** It is not known whether a configuration was accepted; look up `operationId` in the history. */
export const AcceptUnknownError = StoreError.subclass('AcceptUnknownError', {
  props: { operationId: '', configVersion: 0 },
});

/** Another operator's configuration was accepted first. */
export const AcceptConflictError = StoreError.subclass('AcceptConflictError', {
  props: {
    /** Version that this operation was based on; 0 before the first. */
    baseConfigVersion: 0,
    /** Head that was accepted instead. */
    currentHead: undefined as HeadRecord | undefined,
  },
});

/** A new or altered move has the id of a move that is already decided. */
export const MoveDecidedError = StoreError.subclass('MoveDecidedError');
