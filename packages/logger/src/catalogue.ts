/** Severity of a log event. */
export enum EventLevel {
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** One kind of log event: a fixed number, a level and what it tells the operator. */
export interface LogEvent {
  readonly number: number;
  readonly level: EventLevel;
  readonly name: string;
  readonly meaning: string;
}

const defineEvent = (
  number: number,
  level: EventLevel,
  name: string,
  meaning: string,
): LogEvent => ({ number, level, name, meaning });

/**
 * Every event that a process logs; numbers are never used again for another meaning.
 * 1000 process, 1100 store, 1200 membership, 1300 distribution, 1400 moves, 1500 calls,
 * 1600 transport, 1700 admission.
 */
export const logEvents = {
  nodeStarted: defineEvent(1000, EventLevel.Info, 'nodeStarted', 'The node process listens.'),
  nodeServing: defineEvent(
    1001,
    EventLevel.Info,
    'nodeServing',
    'The join floor is reached and the node takes calls.',
  ),
  nodeDraining: defineEvent(
    1002,
    EventLevel.Info,
    'nodeDraining',
    'A planned stop began; running calls are finished first.',
  ),
  nodeStopped: defineEvent(1003, EventLevel.Info, 'nodeStopped', 'The node process ends.'),
  systemFailed: defineEvent(
    1004,
    EventLevel.Error,
    'systemFailed',
    'A system of the tick loop threw; the others go on.',
  ),
  loopPaused: defineEvent(
    1005,
    EventLevel.Warn,
    'loopPaused',
    'The process was paused; its view is stale until it is refreshed.',
  ),
  storeUnavailable: defineEvent(
    1100,
    EventLevel.Warn,
    'storeUnavailable',
    'The store does not answer; what is in force stays in force.',
  ),
  storeAvailable: defineEvent(1101, EventLevel.Info, 'storeAvailable', 'The store answers again.'),
  memberSuspected: defineEvent(
    1200,
    EventLevel.Info,
    'memberSuspected',
    'A member did not answer a probe and its indirect probes.',
  ),
  memberDead: defineEvent(
    1201,
    EventLevel.Warn,
    'memberDead',
    'Several observers did not reach a member; it gets no new work.',
  ),
  snapshotInForce: defineEvent(
    1300,
    EventLevel.Info,
    'snapshotInForce',
    'A whole configuration was swapped in.',
  ),
  snapshotRefused: defineEvent(
    1301,
    EventLevel.Error,
    'snapshotRefused',
    'A configuration failed its checks and was not swapped in.',
  ),
  moveStageProven: defineEvent(
    1400,
    EventLevel.Info,
    'moveStageProven',
    'Evidence allows a higher share for the new backend version.',
  ),
  moveTakenBack: defineEvent(
    1401,
    EventLevel.Warn,
    'moveTakenBack',
    'The new backend version gets no more traffic.',
  ),
  moveDone: defineEvent(
    1402,
    EventLevel.Info,
    'moveDone',
    'All traffic goes to the new backend version.',
  ),
  lateAnswerDropped: defineEvent(
    1500,
    EventLevel.Warn,
    'lateAnswerDropped',
    'An answer came for an attempt that is over and was dropped.',
  ),
  linkLost: defineEvent(
    1600,
    EventLevel.Warn,
    'linkLost',
    'A link to another node closed or went silent.',
  ),
  backendServerCold: defineEvent(
    1700,
    EventLevel.Warn,
    'backendServerCold',
    'The own backend server is slow against its history and is ramped again.',
  ),
  backendServerReturned: defineEvent(
    1701,
    EventLevel.Info,
    'backendServerReturned',
    'The own backend server announced itself again after a drain and begins cold.',
  ),
} as const satisfies Record<string, LogEvent>;
