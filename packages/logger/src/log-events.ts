/** Severity of a log event. */
export enum EventLevel {
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** Kind of log event: its fixed number, level, name and meaning for the operator. */
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
 * Every event that a process logs; a number is never reused for another meaning.
 * 1000 process, 1100 store, 1200 membership, 1300 distribution, 1400 moves, 1500 calls,
 * 1600 transport, 1700 admission.
 */
export const logEvents = {
  nodeStarted: defineEvent(
    1000,
    EventLevel.Info,
    'nodeStarted',
    'The node process listens on its ports.',
  ),
  nodeServing: defineEvent(
    1001,
    EventLevel.Info,
    'nodeServing',
    'The minimum version that the node may serve is reached; the node accepts calls.',
  ),
  nodeDraining: defineEvent(
    1002,
    EventLevel.Info,
    'nodeDraining',
    'A planned stop began; the process ends after the running calls.',
  ),
  nodeStopped: defineEvent(1003, EventLevel.Info, 'nodeStopped', 'The node process ends.'),
  systemFailed: defineEvent(
    1004,
    EventLevel.Error,
    'systemFailed',
    'A system of the tick loop threw an error; the other systems continue.',
  ),
  loopPaused: defineEvent(
    1005,
    EventLevel.Warn,
    'loopPaused',
    'The process was paused; the view of this node is stale until it is refreshed.',
  ),
  storeUnavailable: defineEvent(
    1100,
    EventLevel.Warn,
    'storeUnavailable',
    'The store does not answer; the active configuration and orders stay active.',
  ),
  storeAvailable: defineEvent(1101, EventLevel.Info, 'storeAvailable', 'The store answers again.'),
  seedsUnavailable: defineEvent(
    1202,
    EventLevel.Warn,
    'seedsUnavailable',
    'The record of seeds could not be read or written, or no seed answered; the node tries again.',
  ),
  settingsChanged: defineEvent(
    1006,
    EventLevel.Info,
    'settingsChanged',
    'The settings file was read again; the event shows whether a change needs a restart.',
  ),
  codeCacheRead: defineEvent(
    1010,
    EventLevel.Info,
    'codeCacheRead',
    'Whether the node started with the code cache of its build; without it, the start takes longer.',
  ),
  logLinesDropped: defineEvent(
    1009,
    EventLevel.Warn,
    'logLinesDropped',
    'Log lines were dropped because the reader of the log was too slow.',
  ),
  settingsRefused: defineEvent(
    1007,
    EventLevel.Error,
    'settingsRefused',
    'The settings file was rejected; the active settings stay active.',
  ),
  processFailed: defineEvent(
    1008,
    EventLevel.Error,
    'processFailed',
    'The process ends because of an unhandled error.',
  ),
  memberSuspected: defineEvent(
    1200,
    EventLevel.Info,
    'memberSuspected',
    'A member answered neither a probe nor the indirect probes; it is suspected.',
  ),
  memberDead: defineEvent(
    1201,
    EventLevel.Warn,
    'memberDead',
    'Several observers could not reach a member; it gets no new work.',
  ),
  memberItemMalformed: defineEvent(
    1203,
    EventLevel.Warn,
    'memberItemMalformed',
    'A peer sent a malformed row, state or register; it is ignored, and the others count.',
  ),
  snapshotInForce: defineEvent(
    1300,
    EventLevel.Info,
    'snapshotInForce',
    'A new configuration is active on this node.',
  ),
  orderMalformed: defineEvent(
    1302,
    EventLevel.Error,
    'orderMalformed',
    'An entry that the operators wrote cannot be decoded; it is ignored, and the others stay active.',
  ),
  orderValueUnknown: defineEvent(
    1309,
    EventLevel.Warn,
    'orderValueUnknown',
    'An entry has a value that this build does not know; the rest of the entry is active. Logged once a value.',
  ),
  ordersInForce: defineEvent(
    1303,
    EventLevel.Info,
    'ordersInForce',
    'Orders of a newer revision of the store are active on this node.',
  ),
  watchTakenOver: defineEvent(
    1305,
    EventLevel.Info,
    'watchTakenOver',
    'This node watches the store in the place of one that the store does not serve.',
  ),
  ordersFetchFailed: defineEvent(
    1304,
    EventLevel.Warn,
    'ordersFetchFailed',
    'No peer delivered the orders announced by gossip; they are read from the store.',
  ),
  snapshotRefused: defineEvent(
    1301,
    EventLevel.Error,
    'snapshotRefused',
    'A configuration failed its checks; the active configuration stays active.',
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
    'A move was rolled back; the new backend version gets no more traffic.',
  ),
  moveDone: defineEvent(
    1402,
    EventLevel.Info,
    'moveDone',
    'A move is complete; all traffic goes to the new backend version.',
  ),
  moveStarted: defineEvent(
    1403,
    EventLevel.Info,
    'moveStarted',
    'The operators ordered a move to another backend version.',
  ),
  moveStage: defineEvent(
    1404,
    EventLevel.Info,
    'moveStage',
    'This node set a new share for a backend version, based on the evidence.',
  ),
  moveRecordFailed: defineEvent(
    1405,
    EventLevel.Warn,
    'moveRecordFailed',
    'The outcome of a move could not be written to the store; the write is retried.',
  ),
  moveRecorded: defineEvent(
    1406,
    EventLevel.Info,
    'moveRecorded',
    'The outcome of a move was written to the store.',
  ),
  callRefused: defineEvent(
    1501,
    EventLevel.Warn,
    'callRefused',
    'A call was refused; it did not run.',
  ),
  callFailed: defineEvent(
    1502,
    EventLevel.Warn,
    'callFailed',
    'A call ended without an answer and may have run, or the backend server failed it.',
  ),
  callRepeated: defineEvent(
    1503,
    EventLevel.Info,
    'callRepeated',
    'A call was answered after more than one attempt.',
  ),
  callAnswered: defineEvent(
    1504,
    EventLevel.Info,
    'callAnswered',
    'A call was answered; a sample of these is logged.',
  ),
  callLinesDropped: defineEvent(
    1505,
    EventLevel.Info,
    'callLinesDropped',
    'Log lines about calls were dropped in the last second; the event counts them by kind.',
  ),
  connectionsWaited: defineEvent(
    1506,
    EventLevel.Warn,
    'connectionsWaited',
    'Connections of callers waited to be accepted; the event names the longest possible wait.',
  ),
  lateAnswerDropped: defineEvent(
    1500,
    EventLevel.Warn,
    'lateAnswerDropped',
    'An answer arrived for an attempt that had already ended; the answer was dropped.',
  ),
  linkLost: defineEvent(
    1600,
    EventLevel.Warn,
    'linkLost',
    'A link to another node closed or stopped answering.',
  ),
  backendServerCold: defineEvent(
    1700,
    EventLevel.Warn,
    'backendServerCold',
    'The backend server beside this node is slower than before; it is cold and ramps up again.',
  ),
  backendServerAnnounced: defineEvent(
    1702,
    EventLevel.Info,
    'backendServerAnnounced',
    'The first heartbeat of another incarnation of the backend server beside this node arrived.',
  ),
  backendServerLeaving: defineEvent(
    1703,
    EventLevel.Info,
    'backendServerLeaving',
    'The backend server beside this node leaves; it gets no new work.',
  ),
  heartbeatIgnored: defineEvent(
    1704,
    EventLevel.Warn,
    'heartbeatIgnored',
    'A heartbeat was ignored: it is malformed, belongs to a former incarnation or contradicts the settings.',
  ),
  backendServerSilent: defineEvent(
    1705,
    EventLevel.Warn,
    'backendServerSilent',
    'The backend server beside this node sends neither heartbeats nor answers, or refused a connection.',
  ),
  learnedLimitChanged: defineEvent(
    1706,
    EventLevel.Info,
    'learnedLimitChanged',
    'The node learned that the backend server beside it takes another number of calls well at a time.',
  ),
  backendServerReturned: defineEvent(
    1701,
    EventLevel.Info,
    'backendServerReturned',
    'The backend server beside this node announced itself again after a drain; it starts cold.',
  ),
} as const satisfies Record<string, LogEvent>;
