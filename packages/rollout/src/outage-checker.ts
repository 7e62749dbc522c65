import { DirectMessageKind, type DirectMessenger, type MemberView } from '@sequoiafield/types';
import { monotonicNowMs, type RandomSource } from '@sequoiafield/tables';
import { HealthState, type OwnServerHealth } from './own-server-health.js';
import { isLive } from './rendezvous.js';

/** Maximum number of members of other services that are queried. */
const queriedMembersMax = 12;
/**
 * Time from the first query to the decision. Queries are repeated until then and the last answer of
 * each member counts, since other services may show an outage a moment later than this one.
 */
const decisionAfterMs = 1900;
/** Age after which an unfinished check is discarded and a new one is started. */
const staleAfterMs = 5000;
/** Fewest known states of other services from which a general outage can follow. */
const knownAnswersMin = 2;

/** Result of an outage check. */
export enum OutageResult {
  Waiting = 0,
  /** Other services are unhealthy too. */
  General = 1,
  /** Other services are healthy, or too few answered. */
  Local = 2,
}

interface RunningCheck {
  readonly startedAtMs: number;
  readonly queriedIds: readonly string[];
  readonly answers: Map<string, HealthState>;
}

interface HealthQuery {
  readonly healthOf: string;
}

interface HealthAnswer {
  readonly health: HealthState;
  readonly healthOf: string;
}

/** Distinguishes a general outage from a bad version; replaced in tests. */
export interface OutageChecker {
  /** Starts or continues a check, or returns its result; called each second until then. */
  check(moveId: string, service: string, nowMs: number): OutageResult;
}

/**
 * Queries the nodes of other services whether their backend servers fail more often than usual. Runs
 * before a version is rolled back without traffic of the old version to compare with.
 *
 * @example
 * if (checker.check('settlement-v2', 'settlement', nowMs) === OutageResult.Local) rollBack();
 */
export class PeerOutageChecker implements OutageChecker {
  readonly #running = new Map<string, RunningCheck>();

  constructor(
    private readonly members: MemberView,
    private readonly messenger: DirectMessenger,
    private readonly random: RandomSource,
    private readonly ownServerHealth: OwnServerHealth,
  ) {
    messenger.subscribe(DirectMessageKind.Evidence, (body, fromId) => this.#receive(body, fromId));
  }

  check(moveId: string, service: string, nowMs: number): OutageResult {
    const running = this.#running.get(moveId);
    const isStale = running && nowMs - running.startedAtMs > staleAfterMs;
    const check = running && !isStale ? running : this.#start(moveId, service, nowMs);
    if (nowMs - check.startedAtMs < decisionAfterMs) {
      const query: HealthQuery = { healthOf: moveId };
      check.queriedIds.forEach((id) => this.messenger.send(id, DirectMessageKind.Evidence, query));
      return OutageResult.Waiting;
    }
    this.#running.delete(moveId);
    const answers = [...check.answers.values()];
    const unhealthyCount = answers.filter((state) => state === HealthState.Unhealthy).length;
    const knownCount = answers.filter((state) => state !== HealthState.Unknown).length;
    return knownCount >= knownAnswersMin && unhealthyCount * 2 >= knownCount
      ? OutageResult.General
      : OutageResult.Local;
  }

  #start(moveId: string, service: string, nowMs: number): RunningCheck {
    const queriedIds = this.#choose(service);
    const check = { startedAtMs: nowMs, queriedIds, answers: new Map<string, HealthState>() };
    this.#running.set(moveId, check);
    return check;
  }

  #choose(service: string): string[] {
    const others = [...this.members.all()].filter(
      (member) => isLive(member) && member.service !== service,
    );
    const chosen: string[] = [];
    while (chosen.length < queriedMembersMax && others.length > 0) {
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
      const answer: HealthAnswer = {
        healthOf,
        health: this.ownServerHealth.state(monotonicNowMs()),
      };
      this.messenger.send(fromId, DirectMessageKind.Evidence, answer);
    } else {
      const check = this.#running.get(healthOf);
      if (check?.queriedIds.includes(fromId)) check.answers.set(fromId, health);
    }
  }
}
