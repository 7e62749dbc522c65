import { AccountCheck, RefusedKeyLog } from '@sequoiafield/accounts';
import type { Logger } from '@sequoiafield/logger';
import type { Orders } from '@sequoiafield/orders';
import type { KeyChecker } from '@sequoiafield/types';

/** Check of the keys of requests, and the counts of those it refused. */
export interface NodeKeyCheck {
  readonly keyChecker: KeyChecker;
  readonly refusedKeys: RefusedKeyLog;
}

/**
 * Creates the check of the keys of requests by the orders of a node.
 *
 * @example
 * const { keyChecker, refusedKeys } = createKeyCheck(orders, logger);
 */
export const createKeyCheck = (
  orders: Pick<Orders, 'view' | 'isBehind'>,
  logger: Logger,
): NodeKeyCheck => {
  const refusedKeys = new RefusedKeyLog(logger);
  const keyChecker = new AccountCheck({
    configuration: () => orders.view.current().configuration,
    isOutdated: () => orders.isBehind(),
    onRefused: (route, hasKey) => refusedKeys.count(route, hasKey),
  });
  return { keyChecker, refusedKeys };
};
