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

/** When a fault applies; each condition that is set must hold. */
export interface CallFault {
  readonly kind: CallFaultKind;
  /** Seconds after the start of the process. */
  readonly afterS: number;
  /** Calls that run at the same time, this one included. */
  readonly runningAtLeast: number;
  /** Start of the path; empty for every route. */
  readonly pathPrefix: string;
  /** Part of the calls, 0 to 100. */
  readonly percent: number;
  readonly slowMs: number;
}

/** What a health or load endpoint tells. */
export enum EndpointAccuracy {
  Accurate = 'honest',
  /** Health says ok, load says 0. */
  FalselyGood = 'lie-good',
  /** Health says failing, load says full. */
  FalselyBad = 'lie-bad',
}

/** Everything about a backend server that can be changed while it runs. */
export interface BackendServerBehaviour {
  readonly slots: number;
  readonly serviceTimeMs: number;
  /** Service time varies uniformly by this much in both directions. */
  readonly jitterPercent: number;
  /** Running calls from which new ones are shed; 0 for never. */
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
  /** The load endpoint tells the state of this long ago. */
  readonly loadLagMs: number;
  /** The health endpoint shows a drain this much later. */
  readonly healthLagMs: number;
}

/** A warm and honest backend server with 10 slots and 10 ms per call. */
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

/** Change of a behaviour; what is left out stays. */
export type BehaviourChange = Partial<Omit<BackendServerBehaviour, 'fault'>> & {
  readonly fault?: Partial<CallFault>;
};

/**
 * Applies a change.
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

const count = { type: 'number', minimum: 0 } as const;
const percent = { type: 'number', minimum: 0, maximum: 100 } as const;

/** JSON schema of a change; unknown keys are refused. */
export const behaviourChangeSchema = {
  type: 'object',
  additionalProperties: false,
  properties: {
    slots: { type: 'integer', minimum: 1 },
    serviceTimeMs: count,
    jitterPercent: percent,
    shedAtRunning: count,
    coldMs: count,
    coldSlots: { type: 'integer', minimum: 1 },
    coldFactor: { type: 'number', minimum: 1 },
    payloadBytes: { type: 'integer', minimum: 0 },
    health: { enum: Object.values(EndpointAccuracy) },
    load: { enum: Object.values(EndpointAccuracy) },
    loadLagMs: count,
    healthLagMs: count,
    fault: {
      type: 'object',
      additionalProperties: false,
      properties: {
        kind: { enum: Object.values(CallFaultKind) },
        afterS: count,
        runningAtLeast: count,
        pathPrefix: { type: 'string' },
        percent,
        slowMs: count,
      },
    },
  },
} as const;
