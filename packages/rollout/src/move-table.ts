import { Table } from '@sequoiafield/tables';
import {
  MoveVerdict,
  type MoveIntent,
  type ServiceSection,
  type Snapshot,
  type SnapshotView,
} from '@sequoiafield/types';
import type { EvidenceMerge } from './evidence-merge.js';
import { EvidenceTable } from './evidence-table.js';
import { MovePhase, type MoveState } from './move-state.js';
import type { MoveRegisters } from './move-registers.js';
import type { SharePolicy } from './shares.js';

/** Time during which a new version is watched after its move is done. */
export const watchAfterDoneMs = 3_600_000;
/** Largest difference between two nodes' clocks at which a call to a new version is not refused. */
export const clockSkewMaxMs = 4000;

/** Current split of a service's traffic between two versions. */
export interface VersionSplit {
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Share of `toVersion` in percent. */
  readonly sharePercent: number;
  /** Versions that may get new calls. */
  readonly allowedVersions: ReadonlySet<string>;
}

const moveKey = (intent: MoveIntent): string =>
  `${intent.id}\n${intent.service}\n${intent.fromVersion}\n${intent.toVersion}`;

/**
 * Moves table: one row per move of the active snapshot, updated from snapshot, registers and time.
 * When the snapshot no longer lists a move, its row and evidence are deleted and its traffic ends.
 *
 * @example
 * const moveTable = new MoveTable(snapshot, registers, sharePolicy, new MaximumMerge(), wallNowUnixMs);
 * moveTable.versionSplit('settlement')?.sharePercent;
 */
export class MoveTable {
  readonly moves = new Table<MoveState>('moves');

  readonly #splits = new Map<string, VersionSplit>();

  #snapshot: Snapshot | undefined;

  constructor(
    private readonly view: SnapshotView,
    private readonly registers: MoveRegisters,
    private readonly sharePolicy: SharePolicy,
    private readonly evidenceMerge: EvidenceMerge,
    private readonly nowUnixMs: () => number,
  ) {
    registers.onChange(() => this.refresh(nowUnixMs()));
  }

  /** Split of a service, or undefined if the snapshot lacks the service. */
  versionSplit(service: string): VersionSplit | undefined {
    if (this.view.current() !== this.#snapshot) this.refresh(this.nowUnixMs());
    return this.#splits.get(service);
  }

  /** The undecided or watched move of a service, if there is one. */
  runningMove(service: string): MoveState | undefined {
    let running: MoveState | undefined;
    for (const move of this.moves.rows()) {
      const isRunning = move.phase === MovePhase.Active || move.phase === MovePhase.Watching;
      if (isRunning && move.service.name === service) running = move;
    }
    return running;
  }

  find(moveId: string, toVersion: string): MoveState | undefined {
    for (const move of this.moves.rows()) {
      if (move.intent.id === moveId && move.intent.toVersion === toVersion) return move;
    }
    return undefined;
  }

  /** Recomputes rows, shares and phases. */
  refresh(nowUnixMs: number): void {
    const snapshot = this.view.current();
    if (snapshot !== this.#snapshot) this.#syncRows(snapshot);
    this.#snapshot = snapshot;
    if (!snapshot) return;
    for (const section of snapshot.services.values()) this.#updateSplit(section, nowUnixMs);
  }

  #syncRows(snapshot: Snapshot | undefined): void {
    this.#splits.clear();
    const listed = new Set<string>();
    for (const section of snapshot?.services.values() ?? []) {
      for (const intent of section.moves) {
        listed.add(moveKey(intent));
        this.#upsertRow(intent, section);
      }
    }
    for (const id of [...this.moves.ids()]) if (!listed.has(id)) this.moves.delete(id);
  }

  #upsertRow(intent: MoveIntent, section: ServiceSection): void {
    const known = this.moves.get(moveKey(intent));
    this.moves.set(moveKey(intent), {
      intent,
      service: section.service,
      routes: section.routes,
      verdict: known?.verdict ?? MoveVerdict.Undecided,
      reason: known?.reason ?? '',
      verdictAtUnixMs: known?.verdictAtUnixMs ?? 0,
      provenStage: known?.provenStage ?? 0,
      sharePercent: 0,
      phase: MovePhase.Waiting,
      evidence: known?.evidence ?? new EvidenceTable(this.evidenceMerge),
    });
  }

  #updateSplit(section: ServiceSection, nowUnixMs: number): void {
    const moves = section.moves
      .map((intent) => this.moves.get(moveKey(intent)))
      .filter((move) => move !== undefined)
      .sort((left, right) => left.intent.startAtUnixMs - right.intent.startAtUnixMs);
    moves.forEach((move) => this.#readRegisters(move));
    const isRolledBack = (move: MoveState): boolean => move.verdict === MoveVerdict.RolledBack;
    // The operator may already have configured the new version as the stable one when the watch
    // rolls it back.
    let { stableVersion } = section.service;
    const rolledBackMove = moves.find(
      (move) => isRolledBack(move) && move.intent.toVersion === stableVersion,
    );
    if (rolledBackMove) stableVersion = rolledBackMove.intent.fromVersion;
    const allowed = new Set([stableVersion]);
    let activeMove: MoveState | undefined;
    for (const move of moves) {
      this.#setPhaseAndShare(move, stableVersion, nowUnixMs, activeMove !== undefined);
      if (move.phase === MovePhase.Active) activeMove = move;
      if (move.verdict === MoveVerdict.Done) {
        allowed.add(move.intent.fromVersion).add(move.intent.toVersion);
        if (move.intent.fromVersion === stableVersion) stableVersion = move.intent.toVersion;
      }
      // A caller whose clock is ahead may start the move before this node does.
      const untilStartMs = move.intent.startAtUnixMs - nowUnixMs;
      const isNearStart = untilStartMs > 0 && untilStartMs <= clockSkewMaxMs;
      const isOnStable = move.intent.fromVersion === stableVersion;
      if (isNearStart && isOnStable && !isRolledBack(move)) allowed.add(move.intent.toVersion);
    }
    this.#endWatches(moves, activeMove);
    for (const move of moves) {
      const isStable = move.intent.toVersion === stableVersion;
      if (isRolledBack(move) && !isStable) allowed.delete(move.intent.toVersion);
    }
    if (activeMove) allowed.add(activeMove.intent.fromVersion).add(activeMove.intent.toVersion);
    this.#splits.set(section.service.name, {
      fromVersion: stableVersion,
      toVersion: activeMove?.intent.toVersion ?? stableVersion,
      sharePercent: activeMove?.sharePercent ?? 0,
      allowedVersions: allowed,
    });
  }

  #readRegisters(state: MoveState): void {
    const move = state;
    const verdict = this.registers.verdict(move.intent.id);
    move.verdict = verdict?.verdict ?? MoveVerdict.Undecided;
    move.reason = verdict?.reason ?? '';
    move.verdictAtUnixMs = verdict?.atUnixMs ?? 0;
    move.provenStage = this.registers.provenStage(move.intent);
  }

  /** Sets phase and share; a move waits until its old version is the stable one. */
  #setPhaseAndShare(
    state: MoveState,
    stableVersion: string,
    nowUnixMs: number,
    isBlocked: boolean,
  ): void {
    const move = state;
    const { intent } = move;
    const isStarted = nowUnixMs >= intent.startAtUnixMs;
    const isOnStable = intent.fromVersion === stableVersion && !isBlocked;
    if (move.verdict === MoveVerdict.RolledBack) {
      move.phase = MovePhase.Ended;
      move.sharePercent = 0;
    } else if (move.verdict === MoveVerdict.Done) {
      const isWatched = nowUnixMs < move.verdictAtUnixMs + watchAfterDoneMs;
      move.phase = isWatched ? MovePhase.Watching : MovePhase.Ended;
      move.sharePercent = 100;
    } else {
      move.phase = isStarted && isOnStable ? MovePhase.Active : MovePhase.Waiting;
      move.sharePercent =
        move.phase === MovePhase.Active
          ? this.sharePolicy.sharePercent(intent, nowUnixMs, move.provenStage)
          : 0;
    }
  }

  /** Ends all watches of a service once its next move has started. */
  #endWatches(moves: readonly MoveState[], activeMove: MoveState | undefined): void {
    if (!activeMove) return;
    for (const state of moves) {
      const move = state;
      if (move.phase === MovePhase.Watching) move.phase = MovePhase.Ended;
    }
  }
}
