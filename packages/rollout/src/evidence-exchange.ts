import { DirectMessageKind, type DirectMessenger, type MemberView } from '@sequoiafield/types';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { decodeEvidence, encodeEvidence } from './evidence-message.js';
import { EvidenceSource, type EvidenceRow } from './evidence-row.js';
import type { MoveTable } from './move-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import { chooseMembers, isLive } from './rendezvous.js';

/** Nodes that judge a move; the others only send them evidence. */
export const judgeCount = 3;
/** Largest message; fits a datagram of 1,200 bytes with its envelope. */
const messageMaxBytes = 1000;
/** Smallest message that still carries a row. */
const messageMinBytes = 200;
/** What a judge may receive each second from all nodes together, half of its control budget. */
const judgeBudgetBytes = 8000;
/** Time between two exchanges in services with up to `judgeBudgetBytes / messageMinBytes` nodes. */
const exchangeIntervalMs = 1000;
/** Rows changed this lately go before the others. */
const freshMs = 2000;
/** How many rows further each exchange starts. */
const rowsPerTurn = 2;
const passedOnRowsPerTurn = 10;
/** How long a caller repeats its counts after the last change, against lost datagrams. */
const callerRepeatMs = 5000;

/**
 * Sends this node's evidence of each running move, each second: to the nodes that judge it and to
 * one other random node of the service, which may have to judge later. Judges also pass on rows of
 * other reporters in turn, so that a restarted judge gets what was counted before it. The size
 * of the messages, and in services with more than 40 nodes also the interval, keep what a judge
 * receives at 8 KB/s for each move.
 *
 * @example
 * const exchange = new EvidenceExchange('ath-1-a', members, messenger, book, random);
 * const loop = new TickLoop([exchange], onError);
 */
export class EvidenceExchange implements System {
  readonly name = 'evidence exchange';

  /** Time between two exchanges now; grows with the service. */
  intervalMs = exchangeIntervalMs;

  #nextAtMs = 0;

  #turn = 0;

  #shareReport: () => unknown = () => undefined;

  readonly #heardAtMs = new Map<string, Map<string, number>>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly messenger: DirectMessenger,
    private readonly book: MoveTable,
    private readonly random: RandomSource,
  ) {
    messenger.subscribe(DirectMessageKind.Evidence, (body, fromId) => this.#receive(body, fromId));
    messenger.subscribe(DirectMessageKind.CallerEvidence, (body) => this.#receive(body));
  }

  run({ nowMs }: Tick): void {
    if (nowMs < this.#nextAtMs) return;
    const ownService = this.members.get(this.selfId)?.service ?? '';
    const live = this.members.ofService(ownService).filter(isLive).length;
    const messageBytes = Math.max(
      messageMinBytes,
      Math.min(messageMaxBytes, judgeBudgetBytes / Math.max(1, live)),
    );
    this.intervalMs = exchangeIntervalMs * Math.max(1, (live * messageBytes) / judgeBudgetBytes);
    this.#nextAtMs = nowMs + this.intervalMs;
    this.#turn += 1;
    this.#forgetEndedMoves();
    for (const move of this.book.moves.rows()) {
      const isRunning = move.phase === MovePhase.Active || move.phase === MovePhase.Watching;
      if (isRunning && move.service.name === ownService) this.#sendBeside(move, messageBytes);
      else if (isRunning) this.#sendAsCaller(move, nowMs);
    }
  }

  /** Adds this node's share counts to its messages, which costs no datagram of their own. */
  attachShareReport(shareReport: () => unknown): void {
    this.#shareReport = shareReport;
  }

  /** When a node beside the service's backend servers was last heard on a move. */
  lastEvidenceAtMs(move: MoveState, memberId: string): number | undefined {
    return this.#heardAtMs.get(move.intent.id)?.get(memberId);
  }

  /** Forgets who was heard, after a pause of this process. */
  clearEvidenceTimes(): void {
    this.#heardAtMs.clear();
  }

  #forgetEndedMoves(): void {
    const listed = new Set([...this.book.moves.rows()].map(({ intent }) => intent.id));
    [...this.#heardAtMs.keys()]
      .filter((moveId) => !listed.has(moveId))
      .forEach((moveId) => this.#heardAtMs.delete(moveId));
  }

  #judges(move: MoveState): string[] {
    const { intent, service } = move;
    return chooseMembers(this.members, service.name, intent.id, judgeCount).map(({ id }) => id);
  }

  #sendBeside(move: MoveState, messageBytes: number): void {
    const judges = this.#judges(move);
    const others = this.members
      .ofService(move.service.name)
      .filter(
        (member) => isLive(member) && member.id !== this.selfId && !judges.includes(member.id),
      );
    const other = others[this.random.nextInt(others.length)];
    const receivers = [...judges, ...(other ? [other.id] : [])].filter((id) => id !== this.selfId);
    const ownRows = this.#freshFirst(this.#ownRows(move));
    const share = this.#shareReport();
    this.#send(receivers, DirectMessageKind.Evidence, move, ownRows, messageBytes, share);
    if (!judges.includes(this.selfId)) return;
    const receiver = receivers[this.random.nextInt(receivers.length)];
    if (receiver === undefined) return;
    const allRows = this.#inTurn([...move.evidence.rows()], passedOnRowsPerTurn);
    this.#send([receiver], DirectMessageKind.Evidence, move, allRows, messageMaxBytes);
  }

  #sendAsCaller(move: MoveState, nowMs: number): void {
    const rows = this.#ownRows(move).filter(
      (row) =>
        row.source === EvidenceSource.Unanswered && nowMs - row.changedAtMs <= callerRepeatMs,
    );
    if (rows.length === 0) return;
    const kind = DirectMessageKind.CallerEvidence;
    this.#send(this.#judges(move), kind, move, this.#freshFirst(rows), messageMinBytes * 2);
  }

  #ownRows(move: MoveState): EvidenceRow[] {
    return [...move.evidence.rows()].filter((row) => row.reporterId === this.selfId);
  }

  #freshFirst(rows: readonly EvidenceRow[]): EvidenceRow[] {
    const nowMs = monotonicNowMs();
    const fresh = rows.filter((row) => nowMs - row.changedAtMs <= freshMs);
    const rest = rows.filter((row) => nowMs - row.changedAtMs > freshMs);
    return [...this.#inTurn(fresh, rowsPerTurn), ...this.#inTurn(rest, rowsPerTurn)];
  }

  /** Starts at another row each time, so that each is sent even where not all fit. */
  #inTurn(rows: readonly EvidenceRow[], step: number): EvidenceRow[] {
    const start = rows.length > 0 ? (this.#turn * step) % rows.length : 0;
    return [...rows.slice(start), ...rows.slice(0, start)];
  }

  #send(
    memberIds: readonly string[],
    kind: DirectMessageKind,
    move: MoveState,
    rows: readonly EvidenceRow[],
    messageBytes: number,
    share?: unknown,
  ): void {
    const { id, toVersion } = move.intent;
    const evidence = encodeEvidence(id, toVersion, rows, messageBytes);
    const message = share === undefined ? evidence : { ...evidence, share };
    memberIds.forEach((memberId) => this.messenger.send(memberId, kind, message));
  }

  #receive(body: unknown, fromId?: string): void {
    const message = decodeEvidence(body);
    const move = message && this.book.find(message.moveId, message.toVersion);
    const ownService = this.members.get(this.selfId)?.service;
    if (!message || !move || move.service.name !== ownService) return;
    const nowMs = monotonicNowMs();
    if (fromId !== undefined && this.members.get(fromId)?.service === ownService) {
      const heard = this.#heardAtMs.get(message.moveId) ?? new Map<string, number>();
      heard.set(fromId, nowMs);
      this.#heardAtMs.set(message.moveId, heard);
    }
    message.rows
      .filter((row) => row.reporterId !== this.selfId || row.incarnation !== this.#incarnation())
      .forEach((row) => move.evidence.merge(row, nowMs));
  }

  #incarnation(): number {
    return this.members.get(this.selfId)?.incarnation ?? 0;
  }
}
