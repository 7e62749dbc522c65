/** What a fault does to a call. */
export enum FaultKind {
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
export interface Fault {
  readonly kind: FaultKind;
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
export enum EndpointHonesty {
  Honest = 'honest',
  /** Health says ok, load says 0. */
  LieGood = 'lie-good',
  /** Health says failing, load says full. */
  LieBad = 'lie-bad',
}

/** Everything about a backend server that can be changed while it runs. */
export interface Behaviour {
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
  readonly fault: Fault;
  readonly health: EndpointHonesty;
  readonly load: EndpointHonesty;
  /** The load endpoint tells the state of this long ago. */
  readonly loadLagMs: number;
  /** The health endpoint shows a drain this much later. */
  readonly healthLagMs: number;
}

/** A warm and honest backend server with 10 slots and 10 ms per call. */
export const defaultBehaviour: Behaviour = {
  slots: 10,
  serviceTimeMs: 10,
  jitterPercent: 20,
  shedAtRunning: 0,
  coldMs: 0,
  coldSlots: 1,
  coldFactor: 3,
  payloadBytes: 256,
  fault: {
    kind: FaultKind.None,
    afterS: 0,
    runningAtLeast: 0,
    pathPrefix: '',
    percent: 100,
    slowMs: 500,
  },
  health: EndpointHonesty.Honest,
  load: EndpointHonesty.Honest,
  loadLagMs: 0,
  healthLagMs: 0,
};

/** Change of a behaviour; what is left out stays. */
export type BehaviourChange = Partial<Omit<Behaviour, 'fault'>> & {
  readonly fault?: Partial<Fault>;
};

/**
 * Applies a change.
 *
 * @example
 * mergeBehaviour(defaultBehaviour, { fault: { kind: FaultKind.Hang } });
 */
export const mergeBehaviour = (behaviour: Behaviour, change: BehaviourChange): Behaviour => ({
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
    health: { enum: Object.values(EndpointHonesty) },
    load: { enum: Object.values(EndpointHonesty) },
    loadLagMs: count,
    healthLagMs: count,
    fault: {
      type: 'object',
      additionalProperties: false,
      properties: {
        kind: { enum: Object.values(FaultKind) },
        afterS: count,
        runningAtLeast: count,
        pathPrefix: { type: 'string' },
        percent,
        slowMs: count,
      },
    },
  },
} as const;
