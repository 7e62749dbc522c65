import { DirectMessageKind, type DirectMessenger, type MemberView } from '@sequoiafield/types';
import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { HealthState, type OwnServerHealth } from './own-server-health.js';
import { isLive } from './rendezvous.js';

/** Members of other services that are asked. */
const askedCount = 12;
/**
 * Time from the first question to the decision. Questions are repeated until then and the last
 * answers count, since an outage shows elsewhere a moment later than here.
 */
const decisionAfterMs = 1900;
/** A check that was not followed up for this long is started again. */
const staleAfterMs = 5000;
/** Answers needed before they can excuse a version. */
const answersMin = 2;

/** Result of a check. */
export enum OutageResult {
  Waiting = 0,
  /** Other services are sick too. */
  General = 1,
  /** Other services are well, or none answered. */
  Local = 2,
}

interface RunningCheck {
  readonly startedAtMs: number;
  readonly askedIds: readonly string[];
  readonly answers: Map<string, HealthState>;
}

interface HealthQuestion {
  readonly healthOf: string;
}

interface HealthAnswer {
  readonly health: HealthState;
  readonly healthOf: string;
}

/** Tells a general outage from a bad version; replaced in tests. */
export interface OutageChecker {
  /** Starts or goes on with a check, or returns its result; called each second until then. */
  check(moveId: string, service: string, nowMs: number): OutageResult;
}

/**
 * Asks nodes beside other services' backend servers whether these fail more than usual. Used before
 * a version is blamed without traffic of the old version to compare with.
 *
 * @example
 * if (check.check('settlement-v2', 'settlement', nowMs) === OutageResult.Local) takeBack();
 */
export class PeerOutageChecker implements OutageChecker {
  readonly #running = new Map<string, RunningCheck>();

  constructor(
    private readonly members: MemberView,
    private readonly messenger: DirectMessenger,
    private readonly random: RandomSource,
    private readonly health: OwnServerHealth,
  ) {
    messenger.subscribe(DirectMessageKind.Evidence, (body, fromId) => this.#receive(body, fromId));
  }

  check(moveId: string, service: string, nowMs: number): OutageResult {
    const running = this.#running.get(moveId);
    const isStale = running && nowMs - running.startedAtMs > staleAfterMs;
    const check = running && !isStale ? running : this.#start(moveId, service, nowMs);
    if (nowMs - check.startedAtMs < decisionAfterMs) {
      const question: HealthQuestion = { healthOf: moveId };
      check.askedIds.forEach((id) => this.messenger.send(id, DirectMessageKind.Evidence, question));
      return OutageResult.Waiting;
    }
    this.#running.delete(moveId);
    const answers = [...check.answers.values()];
    const sick = answers.filter((state) => state === HealthState.Unhealthy).length;
    const known = answers.filter((state) => state !== HealthState.Unknown).length;
    return known >= answersMin && sick * 2 >= known ? OutageResult.General : OutageResult.Local;
  }

  #start(moveId: string, service: string, nowMs: number): RunningCheck {
    const askedIds = this.#choose(service);
    const check = { startedAtMs: nowMs, askedIds, answers: new Map<string, HealthState>() };
    this.#running.set(moveId, check);
    return check;
  }

  #choose(service: string): string[] {
    const others = [...this.members.all()].filter(
      (member) => isLive(member) && member.service !== service,
    );
    const chosen: string[] = [];
    while (chosen.length < askedCount && others.length > 0) {
      const [member] = others.splice(this.random.nextInt(others.length), 1);
      if (member) chosen.push(member.id);
    }
    return chosen;
  }

  #receive(body: unknown, fromId: string): void {
    if (typeof body !== 'object' || body === null) return;
    const { healthOf, health } = body as Partial<HealthAnswer>;
    if (typeof healthOf !== 'string') return;
    if (health === undefined) {
      const answer: HealthAnswer = { healthOf, health: this.health.state(monotonicNowMs()) };
      this.messenger.send(fromId, DirectMessageKind.Evidence, answer);
    } else {
      const check = this.#running.get(healthOf);
      if (check?.askedIds.includes(fromId)) check.answers.set(fromId, health);
    }
  }
}
