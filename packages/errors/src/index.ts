import ModernError from 'modern-errors';

/** Base class of every error of the project; each layer derives its own class and sets `cause`. */
export const SequoiafieldError = ModernError.subclass('SequoiafieldError');

/** A configuration folder or settings file was rejected. */
export const ConfigError = SequoiafieldError.subclass('ConfigError');
/** An operation on the platform's store failed. */
export const StoreError = SequoiafieldError.subclass('StoreError');
/** Gossip or the members table failed. */
export const MembershipError = SequoiafieldError.subclass('MembershipError');
/** A snapshot could not be fetched or checked. */
export const DistributionError = SequoiafieldError.subclass('DistributionError');
/** A link between nodes failed. */
export const TransportError = SequoiafieldError.subclass('TransportError');
/** A call could not be handled. */
export const CallError = SequoiafieldError.subclass('CallError');
/** A node could not start or stop. */
export const NodeError = SequoiafieldError.subclass('NodeError');
/** An operator's command failed. */
export const CommandError = SequoiafieldError.subclass('CommandError');
