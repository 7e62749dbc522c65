/** What a fault does to a call. */
export enum CallFaultKind {
  None = 'none',
  /** Answers 500 after the service time. */
  Fail = 'fail',
  /** Adds `slowMs`. */
  Slow = 'slow',
  /** Never answers. */
  Hang = 'hang',
  /** Runs the call, then closes the connection without an answer. */
  Close = 'close',
}

/** Fault of calls and the conditions under which it applies; all that are set must hold. */
export interface CallFault {
  readonly kind: CallFaultKind;
  /** Seconds after the start of the process. */
  readonly afterS: number;
  /** Minimum number of running calls, this one included. */
  readonly runningAtLeast: number;
  /** Prefix of the path; empty for every route. */
  readonly pathPrefix: string;
  /** Percentage of the calls, 0 to 100. */
  readonly percent: number;
  readonly slowMs: number;
}

/** Accuracy of what a health or load endpoint reports. */
export enum EndpointAccuracy {
  Accurate = 'honest',
  /** Reports ok as health and 0 as load. */
  FalselyGood = 'lie-good',
  /** Reports failing as health and all slots in use as load. */
  FalselyBad = 'lie-bad',
}

/** Settings of a backend server that can be changed while it runs. */
export interface BackendServerBehaviour {
  readonly slots: number;
  readonly serviceTimeMs: number;
  /** Service time varies uniformly by this much in both directions. */
  readonly jitterPercent: number;
  /** Number of running calls from which new calls are shed; 0 for never. */
  readonly shedAtRunning: number;
  /** Time from cold to warm. */
  readonly coldMs: number;
  /** Calls that a cold server handles at a time without slowing down. */
  readonly coldSlots: number;
  /** Service time of a cold server relative to a warm one. */
  readonly coldFactor: number;
  readonly payloadBytes: number;
  readonly fault: CallFault;
  readonly health: EndpointAccuracy;
  readonly load: EndpointAccuracy;
  /** Age of the load that the load endpoint reports. */
  readonly loadLagMs: number;
  /** Delay after which the health endpoint reports a drain. */
  readonly healthLagMs: number;
}

/** A warm backend server with accurate endpoints, 10 slots and 10 ms per call. */
export const defaultBehaviour: BackendServerBehaviour = {
  slots: 10,
  serviceTimeMs: 10,
  jitterPercent: 20,
  shedAtRunning: 0,
  coldMs: 0,
  coldSlots: 1,
  coldFactor: 3,
  payloadBytes: 256,
  fault: {
    kind: CallFaultKind.None,
    afterS: 0,
    runningAtLeast: 0,
    pathPrefix: '',
    percent: 100,
    slowMs: 500,
  },
  health: EndpointAccuracy.Accurate,
  load: EndpointAccuracy.Accurate,
  loadLagMs: 0,
  healthLagMs: 0,
};

/** Change of a behaviour; a field that is left out keeps its value. */
export type BehaviourChange = Partial<Omit<BackendServerBehaviour, 'fault'>> & {
  readonly fault?: Partial<CallFault>;
};

/**
 * Returns the behaviour with a change applied.
 *
 * @example
 * mergeBehaviour(defaultBehaviour, { fault: { kind: CallFaultKind.Hang } });
 */
export const mergeBehaviour = (
  behaviour: BackendServerBehaviour,
  change: BehaviourChange,
): BackendServerBehaviour => ({
  ...behaviour,
  ...change,
  fault: { ...behaviour.fault, ...change.fault },
});

const nonNegativeNumber = { type: 'number', minimum: 0 } as const;
const percent = { type: 'number', minimum: 0, maximum: 100 } as const;

/** JSON schema of a change; unknown keys are rejected. */
export const behaviourChangeSchema = {
  type: 'object',
  additionalProperties: false,
  properties: {
    slots: { type: 'integer', minimum: 1 },
    serviceTimeMs: nonNegativeNumber,
    jitterPercent: percent,
    shedAtRunning: nonNegativeNumber,
    coldMs: nonNegativeNumber,
    coldSlots: { type: 'integer', minimum: 1 },
    coldFactor: { type: 'number', minimum: 1 },
    payloadBytes: { type: 'integer', minimum: 0 },
    health: { enum: Object.values(EndpointAccuracy) },
    load: { enum: Object.values(EndpointAccuracy) },
    loadLagMs: nonNegativeNumber,
    healthLagMs: nonNegativeNumber,
    fault: {
      type: 'object',
      additionalProperties: false,
      properties: {
        kind: { enum: Object.values(CallFaultKind) },
        afterS: nonNegativeNumber,
        runningAtLeast: nonNegativeNumber,
        pathPrefix: { type: 'string' },
        percent,
        slowMs: nonNegativeNumber,
      },
    },
  },
} as const;
