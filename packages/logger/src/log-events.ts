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
  seedsUnavailable: defineEvent(
    1202,
    EventLevel.Warn,
    'seedsUnavailable',
    'The record of seeds could not be read or written, or no seed answered; it is tried again.',
  ),
  settingsChanged: defineEvent(
    1006,
    EventLevel.Info,
    'settingsChanged',
    'The settings file was read again; what needs a restart is named.',
  ),
  logLinesDropped: defineEvent(
    1009,
    EventLevel.Warn,
    'logLinesDropped',
    'Lines that were left out because nobody read the log fast enough.',
  ),
  settingsRefused: defineEvent(
    1007,
    EventLevel.Error,
    'settingsRefused',
    'The settings file cannot be used; the settings in force stay.',
  ),
  processFailed: defineEvent(
    1008,
    EventLevel.Error,
    'processFailed',
    'The process ends because of an error that nothing handled.',
  ),
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
  orderMalformed: defineEvent(
    1302,
    EventLevel.Error,
    'orderMalformed',
    'An entry of the operators cannot be decoded; it names nothing, and the rest stays in force.',
  ),
  ordersInForce: defineEvent(
    1303,
    EventLevel.Info,
    'ordersInForce',
    'Orders of a newer revision of the store are in force on this node.',
  ),
  ordersFetchFailed: defineEvent(
    1304,
    EventLevel.Warn,
    'ordersFetchFailed',
    'No peer delivered the orders that gossip named; the store is read.',
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
    'This node decided a new share of a backend version, by the evidence that is named.',
  ),
  moveRecordFailed: defineEvent(
    1405,
    EventLevel.Warn,
    'moveRecordFailed',
    'The outcome of a move could not be written to the store; it is written again.',
  ),
  moveRecorded: defineEvent(
    1406,
    EventLevel.Info,
    'moveRecorded',
    'The store holds the outcome of a move.',
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
    'A call ended without an answer and may have run, or its backend server failed it.',
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
    'Lines about calls that were left out in the last second, by kind.',
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
  backendServerAnnounced: defineEvent(
    1702,
    EventLevel.Info,
    'backendServerAnnounced',
    'Another incarnation of the backend server beside this node announced itself.',
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
    'A heartbeat is malformed, of a former incarnation or of another server; it changes nothing.',
  ),
  backendServerSilent: defineEvent(
    1705,
    EventLevel.Warn,
    'backendServerSilent',
    'The backend server beside this node gives no sign of life or refused a connection.',
  ),
  backendServerReturned: defineEvent(
    1701,
    EventLevel.Info,
    'backendServerReturned',
    'The own backend server announced itself again after a drain and begins cold.',
  ),
} as const satisfies Record<string, LogEvent>;
