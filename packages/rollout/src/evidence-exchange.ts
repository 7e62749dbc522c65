import { DirectMessageKind, type DirectMessenger, type MemberView } from '@sequoiafield/types';
import { monotonicNowMs, type RandomSource, type System, type Tick } from '@sequoiafield/tables';
import { decodeEvidence, encodeEvidence } from './evidence-message.js';
import { EvidenceSource, type EvidenceRow } from './evidence-row.js';
import type { MoveTable } from './move-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import { chooseMembers, isLive } from './rendezvous.js';

/** Number of nodes that judge a move; all other nodes only send evidence to them. */
export const judgeCount = 3;
/** Largest message; with its envelope it fits a datagram of 1,200 bytes. */
const messageMaxBytes = 1000;
/** Smallest message that still carries a row. */
const messageMinBytes = 200;
/**
 * Bytes that a judge may receive each second from all nodes together: half of its control budget.
 */
const judgeBudgetBytesPerS = 8000;
/** Exchange interval in services with up to `judgeBudgetBytesPerS / messageMinBytes` nodes. */
const exchangeIntervalMs = 1000;
/** Age up to which a changed row is sent before the others. */
const recentChangeMs = 2000;
/** Number of rows by which the first row sent advances with each exchange. */
const rowsPerRound = 2;
const forwardedRowsPerRound = 10;
/** Time after the last change during which a caller repeats its counts, against lost datagrams. */
const callerRepeatMs = 5000;

/**
 * Sends this node's evidence of each running move, each second, to the nodes that judge the move and
 * to one other random node of the service, which may become a judge later. Judges also forward rows
 * of other reporters in rotation, so that a restarted judge receives the earlier counts. The size of
 * the messages, and in services with more than 40 nodes also the interval, limit what a judge
 * receives to 8 KB/s for each move.
 *
 * @example
 * const exchange = new EvidenceExchange('ath-1-a', members, messenger, moveTable, random);
 * const loop = new TickLoop([exchange], onError);
 */
export class EvidenceExchange implements System {
  readonly name = 'evidence exchange';

  /** Current time between two exchanges; grows with the number of nodes of the service. */
  intervalMs = exchangeIntervalMs;

  #nextAtMs = 0;

  #round = 0;

  #readShareReport: () => unknown = () => undefined;

  /** Monotonic time of the last evidence by id of the move and of the sending member. */
  readonly #lastEvidenceAtMs = new Map<string, Map<string, number>>();

  constructor(
    private readonly selfId: string,
    private readonly members: MemberView,
    private readonly messenger: DirectMessenger,
    private readonly moveTable: MoveTable,
    private readonly random: RandomSource,
  ) {
    messenger.subscribe(DirectMessageKind.Evidence, (body, fromId) => this.#receive(body, fromId));
    messenger.subscribe(DirectMessageKind.CallerEvidence, (body) => this.#receive(body));
  }

  run({ nowMs }: Tick): void {
    if (nowMs < this.#nextAtMs) return;
    const ownService = this.members.get(this.selfId)?.service ?? '';
    const liveCount = this.members.ofService(ownService).filter(isLive).length;
    const messageBytes = Math.max(
      messageMinBytes,
      Math.min(messageMaxBytes, judgeBudgetBytesPerS / Math.max(1, liveCount)),
    );
    this.intervalMs =
      exchangeIntervalMs * Math.max(1, (liveCount * messageBytes) / judgeBudgetBytesPerS);
    this.#nextAtMs = nowMs + this.intervalMs;
    this.#round += 1;
    this.#deleteEndedMoves();
    for (const move of this.moveTable.moves.rows()) {
      const isRunning = move.phase === MovePhase.Active || move.phase === MovePhase.Watching;
      if (isRunning && move.service.name === ownService) this.#sendEvidence(move, messageBytes);
      else if (isRunning) this.#sendUnansweredToJudges(move, nowMs);
    }
  }

  /** Adds this node's share counts to its evidence messages, which saves separate datagrams. */
  attachShareReport(shareReport: () => unknown): void {
    this.#readShareReport = shareReport;
  }

  /** Monotonic time at which evidence of a move was last received from a node of its service. */
  lastEvidenceAtMs(move: MoveState, memberId: string): number | undefined {
    return this.#lastEvidenceAtMs.get(move.intent.id)?.get(memberId);
  }

  /** Clears the times of received evidence, after a pause of this process. */
  clearEvidenceTimes(): void {
    this.#lastEvidenceAtMs.clear();
  }

  #deleteEndedMoves(): void {
    const listed = new Set([...this.moveTable.moves.rows()].map(({ intent }) => intent.id));
    [...this.#lastEvidenceAtMs.keys()]
      .filter((moveId) => !listed.has(moveId))
      .forEach((moveId) => this.#lastEvidenceAtMs.delete(moveId));
  }

  #judgeIdsOf(move: MoveState): string[] {
    const { intent, service } = move;
    return chooseMembers(this.members, service.name, intent.id, judgeCount).map(({ id }) => id);
  }

  #sendEvidence(move: MoveState, messageBytes: number): void {
    const judgeIds = this.#judgeIdsOf(move);
    const others = this.members
      .ofService(move.service.name)
      .filter(
        (member) => isLive(member) && member.id !== this.selfId && !judgeIds.includes(member.id),
      );
    const other = others[this.random.nextInt(others.length)];
    const receiverIds = [...judgeIds, ...(other ? [other.id] : [])].filter(
      (id) => id !== this.selfId,
    );
    const ownRows = this.#recentlyChangedFirst(this.#ownRows(move));
    const share = this.#readShareReport();
    this.#send(receiverIds, DirectMessageKind.Evidence, move, ownRows, messageBytes, share);
    if (!judgeIds.includes(this.selfId)) return;
    const receiverId = receiverIds[this.random.nextInt(receiverIds.length)];
    if (receiverId === undefined) return;
    const allRows = this.#rotated([...move.evidence.rows()], forwardedRowsPerRound);
    this.#send([receiverId], DirectMessageKind.Evidence, move, allRows, messageMaxBytes);
  }

  #sendUnansweredToJudges(move: MoveState, nowMs: number): void {
    const rows = this.#ownRows(move).filter(
      (row) =>
        row.source === EvidenceSource.Unanswered && nowMs - row.changedAtMs <= callerRepeatMs,
    );
    if (rows.length === 0) return;
    const kind = DirectMessageKind.CallerEvidence;
    this.#send(
      this.#judgeIdsOf(move),
      kind,
      move,
      this.#recentlyChangedFirst(rows),
      messageMinBytes * 2,
    );
  }

  #ownRows(move: MoveState): EvidenceRow[] {
    return [...move.evidence.rows()].filter((row) => row.reporterId === this.selfId);
  }

  #recentlyChangedFirst(rows: readonly EvidenceRow[]): EvidenceRow[] {
    const nowMs = monotonicNowMs();
    const recent = rows.filter((row) => nowMs - row.changedAtMs <= recentChangeMs);
    const rest = rows.filter((row) => nowMs - row.changedAtMs > recentChangeMs);
    return [...this.#rotated(recent, rowsPerRound), ...this.#rotated(rest, rowsPerRound)];
  }

  /** Rotates the rows by `step` each round, so that each row is sent even if not all fit. */
  #rotated(rows: readonly EvidenceRow[], step: number): EvidenceRow[] {
    const start = rows.length > 0 ? (this.#round * step) % rows.length : 0;
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
    const move = message && this.moveTable.find(message.moveId, message.toVersion);
    const ownService = this.members.get(this.selfId)?.service;
    if (!message || !move || move.service.name !== ownService) return;
    const nowMs = monotonicNowMs();
    if (fromId !== undefined && this.members.get(fromId)?.service === ownService) {
      const receivedAtMs = this.#lastEvidenceAtMs.get(message.moveId) ?? new Map<string, number>();
      receivedAtMs.set(fromId, nowMs);
      this.#lastEvidenceAtMs.set(message.moveId, receivedAtMs);
    }
    message.rows
      .filter((row) => row.reporterId !== this.selfId || row.incarnation !== this.#incarnation())
      .forEach((row) => move.evidence.merge(row, nowMs));
  }

  #incarnation(): number {
    return this.members.get(this.selfId)?.incarnation ?? 0;
  }
}
