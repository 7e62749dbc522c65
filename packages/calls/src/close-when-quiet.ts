import type { Server } from 'node:net';
import { monotonicNowMs } from '@sequoiafield/tables';

/** Turns of the event loop in a row without a new connection, after which none waits. */
const quietTurnsCount = 2;
/** Longest time until the close; clients that connect without end do not delay it further. */
const closeDelayMaxMs = 1000;

/**
 * Closes a listening server once no connection waits to be accepted, since a close resets those that do.
 * The event loop accepts one connection in each turn.
 *
 * @example
 * closeWhenQuiet(server);
 */
export const closeWhenQuiet = (server: Server): void => {
  const closeAtMs = monotonicNowMs() + closeDelayMaxMs;
  let quietTurns = 0;
  const onConnection = (): void => {
    quietTurns = 0;
  };
  const onTurn = (): void => {
    quietTurns += 1;
    if (quietTurns <= quietTurnsCount && monotonicNowMs() < closeAtMs) {
      setImmediate(onTurn);
      return;
    }
    server.off('connection', onConnection);
    server.close();
  };
  server.on('connection', onConnection);
  setImmediate(onTurn);
};
