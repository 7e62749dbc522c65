import { monotonicNowMs, type System, type Tick } from '@sequoiafield/tables';
import {
  DirectMessageKind,
  type DirectMessenger,
  type MemberView,
  type ObservedShare,
  type ShareTracker,
} from '@sequoiafield/types';
import { judgeCount, type EvidenceExchange } from './evidence-exchange.js';
import type { MoveTable } from './move-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import { chooseMembers, isLive } from './rendezvous.js';
import { readShareReport, ShareReportHistory, type ShareTotals } from './share-report-history.js';

/** Exchanges after which totals are not used any more; each judge sends in every third exchange. */
const totalsMaxExchanges = 3.5;

interface ReceivedTotals extends ShareTotals {
  readonly atMs: number;
}

interface OwnCounts {
  offered: number;
  overShare: number;
}

const moveKey = (moveId: string, toVersion: string): string => `${moveId}\n${toVersion}`;

/**
 * Observes which share of a service's calls callers send to the new version. Each node sends its
 * counts with its evidence to the judges, which thus receive the counts of all nodes. The judges take
 * turns in sending the totals to the nodes beside backend servers of the new version; each of these
 * nodes receives one small datagram a second.
 *
 * @example
 * const observer = new ShareObserver('ath-1-a', members, messenger, moveTable, exchange);
 * observer.observedShare('settlement', 'v2'); // { offeredCalls: 52, allCalls: 1003 }
 */
export class ShareObserver implements System, ShareTracker {
  readonly name = 'share observer';

  #nextAtMs = 0;

  #round = 0;

  readonly #ownCountsByVersion = new Map<string, OwnCounts>();

  readonly #reports = new Map<string, ShareReportHistory>();

  readonly #totals = new Map<string, ReceivedTotals>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly messenger: DirectMessenger,
    private readonly moveTable: MoveTable,
    private readonly exchange: EvidenceExchange,
  ) {
    exchange.attachShareReport(() => this.#ownReport());
    messenger.subscribe(DirectMessageKind.Evidence, (body, from) => this.#onReport(body, from));
    messenger.subscribe(DirectMessageKind.ShareTotals, (body, from) => this.#onTotals(body, from));
  }

  recordOffered(service: string, backendVersion: string): void {
    this.#ownCounts(service, backendVersion).offered += 1;
  }

  recordOverShare(service: string, backendVersion: string): void {
    this.#ownCounts(service, backendVersion).overShare += 1;
  }

  observedShare(service: string, backendVersion: string): ObservedShare | undefined {
    const move = this.moveTable.runningMove(service);
    if (move?.intent.toVersion !== backendVersion) return undefined;
    const totals = this.#totals.get(moveKey(move.intent.id, backendVersion));
    const maxAgeMs = totalsMaxExchanges * this.exchange.intervalMs;
    if (!totals || monotonicNowMs() - totals.atMs > maxAgeMs) return undefined;
    const { offeredNew, overShareNew, offeredOld } = totals;
    return {
      offeredCalls: offeredNew,
      allCalls: Math.max(offeredNew, offeredNew - overShareNew + offeredOld),
    };
  }

  run({ nowMs, wasPaused }: Tick): void {
    if (wasPaused) {
      this.#reports.clear();
      this.#totals.clear();
    }
    if (nowMs < this.#nextAtMs) return;
    this.#nextAtMs = nowMs + this.exchange.intervalMs;
    this.#round += 1;
    const ownService = this.members.get(this.selfId)?.service;
    const listed = new Set<string>();
    for (const move of this.moveTable.moves.rows()) {
      const { id, toVersion } = move.intent;
      if (move.phase === MovePhase.Active && move.service.name === ownService) {
        listed.add(moveKey(id, toVersion));
        this.#sendTotals(move, nowMs);
      }
    }
    for (const byMove of [this.#reports, this.#totals]) {
      [...byMove.keys()].filter((key) => !listed.has(key)).forEach((key) => byMove.delete(key));
    }
  }

  /** Sends the totals to the nodes beside the new version whose turn it is for this judge. */
  #sendTotals(move: MoveState, nowMs: number): void {
    const { id, service, toVersion } = move.intent;
    const judges = chooseMembers(this.members, service, id, judgeCount);
    const judgeIndex = judges.findIndex((judge) => judge.id === this.selfId);
    if (judgeIndex < 0) return;
    const reports = this.#reportsOf(id, toVersion);
    const own = readShareReport(this.#ownReport());
    if (own) reports.add(this.selfId, own, nowMs, this.exchange.intervalMs);
    const totals = reports.totals(move, this.members, nowMs, this.exchange.intervalMs);
    if (!totals) return;
    const { offeredNew, overShareNew, offeredOld } = totals;
    const counts = [offeredNew, overShareNew, offeredOld].map(Math.round);
    this.members
      .ofService(service)
      .filter((member) => isLive(member) && member.backendVersion === toVersion)
      .forEach((member, index) => {
        if ((index + judgeIndex + this.#round) % judges.length !== 0) return;
        const body = [id, toVersion, ...counts];
        if (member.id === this.selfId) this.#onTotals(body, this.selfId);
        else this.messenger.send(member.id, DirectMessageKind.ShareTotals, body);
      });
  }

  #onReport(body: unknown, fromId: string): void {
    if (typeof body !== 'object' || body === null) return;
    const { move, to, share } = body as { move?: unknown; to?: unknown; share?: unknown };
    const report = readShareReport(share);
    if (typeof move !== 'string' || typeof to !== 'string' || !report) return;
    if (!this.moveTable.find(move, to)) return;
    this.#reportsOf(move, to).add(fromId, report, monotonicNowMs(), this.exchange.intervalMs);
  }

  #onTotals(body: unknown, fromId: string): void {
    if (!Array.isArray(body) || body.length !== 5) return;
    const [moveId, toVersion, ...counts] = body as unknown[];
    if (typeof moveId !== 'string' || typeof toVersion !== 'string') return;
    const move = this.moveTable.find(moveId, toVersion);
    const isFromService = this.members.get(fromId)?.service === move?.service.name;
    if (!move || !isFromService || !counts.every((count) => Number.isSafeInteger(count))) return;
    const [offeredNew = 0, overShareNew = 0, offeredOld = 0] = counts as number[];
    const received = { offeredNew, overShareNew, offeredOld, atMs: monotonicNowMs() };
    this.#totals.set(moveKey(moveId, toVersion), received);
  }

  #ownReport(): readonly number[] {
    const self = this.members.get(this.selfId);
    const counts = this.#ownCounts(self?.service ?? '', self?.backendVersion ?? '');
    return [Math.round(monotonicNowMs()), counts.offered, counts.overShare];
  }

  #ownCounts(service: string, backendVersion: string): OwnCounts {
    const key = `${service}\n${backendVersion}`;
    const counts = this.#ownCountsByVersion.get(key) ?? { offered: 0, overShare: 0 };
    this.#ownCountsByVersion.set(key, counts);
    return counts;
  }

  #reportsOf(moveId: string, toVersion: string): ShareReportHistory {
    const key = moveKey(moveId, toVersion);
    const reports = this.#reports.get(key) ?? new ShareReportHistory();
    this.#reports.set(key, reports);
    return reports;
  }
}
