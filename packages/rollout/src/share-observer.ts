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

/** Totals older than this many exchanges are not used; each judge sends every third time. */
const totalsMaxExchanges = 3.5;

interface HeardTotals extends ShareTotals {
  readonly atMs: number;
}

interface OwnCounts {
  offered: number;
  overShare: number;
}

const moveKey = (moveId: string, toVersion: string): string => `${moveId}\n${toVersion}`;

/**
 * Observes which share of a service's calls callers send to the new version. Each node's counts
 * travel with its evidence to the judges. The judges hear from all nodes; they take turns in sending
 * the totals to the nodes beside the new version, one small datagram a second for each of these.
 *
 * @example
 * const observer = new ShareObserver('ath-1-a', members, messenger, book, exchange);
 * observer.observedShare('settlement', 'v2'); // { offeredCalls: 52, allCalls: 1003 }
 */
export class ShareObserver implements System, ShareTracker {
  readonly name = 'share observer';

  #nextAtMs = 0;

  #turn = 0;

  readonly #own = new Map<string, OwnCounts>();

  readonly #reports = new Map<string, ShareReportHistory>();

  readonly #totals = new Map<string, HeardTotals>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly messenger: DirectMessenger,
    private readonly book: MoveTable,
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
    const move = this.book.runningMove(service);
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
    this.#turn += 1;
    const ownService = this.members.get(this.selfId)?.service;
    const listed = new Set<string>();
    for (const move of this.book.moves.rows()) {
      const { id, toVersion } = move.intent;
      if (move.phase === MovePhase.Active && move.service.name === ownService) {
        listed.add(moveKey(id, toVersion));
        this.#tellTotals(move, nowMs);
      }
    }
    for (const kept of [this.#reports, this.#totals]) {
      [...kept.keys()].filter((key) => !listed.has(key)).forEach((key) => kept.delete(key));
    }
  }

  /** Sends the totals to this judge's part of the nodes beside the new version. */
  #tellTotals(move: MoveState, nowMs: number): void {
    const { id, service, toVersion } = move.intent;
    const judges = chooseMembers(this.members, service, id, judgeCount);
    const place = judges.findIndex((judge) => judge.id === this.selfId);
    if (place < 0) return;
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
        if ((index + place + this.#turn) % judges.length !== 0) return;
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
    if (!this.book.find(move, to)) return;
    this.#reportsOf(move, to).add(fromId, report, monotonicNowMs(), this.exchange.intervalMs);
  }

  #onTotals(body: unknown, fromId: string): void {
    if (!Array.isArray(body) || body.length !== 5) return;
    const [moveId, toVersion, ...counts] = body as unknown[];
    if (typeof moveId !== 'string' || typeof toVersion !== 'string') return;
    const move = this.book.find(moveId, toVersion);
    const isBeside = this.members.get(fromId)?.service === move?.service.name;
    if (!move || !isBeside || !counts.every((count) => Number.isSafeInteger(count))) return;
    const [offeredNew = 0, overShareNew = 0, offeredOld = 0] = counts as number[];
    const heard = { offeredNew, overShareNew, offeredOld, atMs: monotonicNowMs() };
    this.#totals.set(moveKey(moveId, toVersion), heard);
  }

  #ownReport(): readonly number[] {
    const self = this.members.get(this.selfId);
    const counts = this.#ownCounts(self?.service ?? '', self?.backendVersion ?? '');
    return [Math.round(monotonicNowMs()), counts.offered, counts.overShare];
  }

  #ownCounts(service: string, backendVersion: string): OwnCounts {
    const key = `${service}\n${backendVersion}`;
    const counts = this.#own.get(key) ?? { offered: 0, overShare: 0 };
    this.#own.set(key, counts);
    return counts;
  }

  #reportsOf(moveId: string, toVersion: string): ShareReportHistory {
    const key = moveKey(moveId, toVersion);
    const reports = this.#reports.get(key) ?? new ShareReportHistory();
    this.#reports.set(key, reports);
    return reports;
  }
}
