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

/** How long a new version is watched after the move is done. */
export const watchAfterDoneMs = 3_600_000;
/** Largest difference between two nodes' clocks at which a call to a new version is not refused. */
export const clockSkewMaxMs = 4000;

/** Split of a service's traffic now. */
export interface VersionSplit {
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Share of `toVersion` in percent. */
  readonly sharePercent: number;
  /** Versions that may get new work. */
  readonly allowedVersions: ReadonlySet<string>;
}

const moveKey = (intent: MoveIntent): string =>
  `${intent.id}\n${intent.service}\n${intent.fromVersion}\n${intent.toVersion}`;

/**
 * Moves table: one row per move of the snapshot in force, kept in step with snapshot, registers and
 * time. A move that the snapshot no longer lists loses its row, its evidence and its traffic.
 *
 * @example
 * const book = new MoveTable(snapshot, registers, policy, new MaximumMerge(), wallNowUnixMs);
 * book.versionSplit('settlement')?.sharePercent;
 */
export class MoveTable {
  readonly moves = new Table<MoveState>('moves');

  readonly #splits = new Map<string, VersionSplit>();

  #snapshot: Snapshot | undefined;

  constructor(
    private readonly view: SnapshotView,
    private readonly registers: MoveRegisters,
    private readonly policy: SharePolicy,
    private readonly merging: EvidenceMerge,
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
    if (snapshot !== this.#snapshot) this.#follow(snapshot);
    this.#snapshot = snapshot;
    if (!snapshot) return;
    for (const section of snapshot.services.values()) this.#resolve(section, nowUnixMs);
  }

  #follow(snapshot: Snapshot | undefined): void {
    this.#splits.clear();
    const listed = new Set<string>();
    for (const section of snapshot?.services.values() ?? []) {
      for (const intent of section.moves) {
        listed.add(moveKey(intent));
        this.#keepRow(intent, section);
      }
    }
    for (const id of [...this.moves.ids()]) if (!listed.has(id)) this.moves.delete(id);
  }

  #keepRow(intent: MoveIntent, section: ServiceSection): void {
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
      evidence: known?.evidence ?? new EvidenceTable(this.merging),
    });
  }

  #resolve(section: ServiceSection, nowUnixMs: number): void {
    const moves = section.moves
      .map((intent) => this.moves.get(moveKey(intent)))
      .filter((move) => move !== undefined)
      .sort((left, right) => left.intent.startAtUnixMs - right.intent.startAtUnixMs);
    moves.forEach((move) => this.#readRegisters(move));
    const isTakenBack = (move: MoveState): boolean => move.verdict === MoveVerdict.RolledBack;
    // The operator may already have written the new version as the stable one when the watch takes
    // it back.
    let { stableVersion } = section.service;
    const takenBack = moves.find(
      (move) => isTakenBack(move) && move.intent.toVersion === stableVersion,
    );
    if (takenBack) stableVersion = takenBack.intent.fromVersion;
    const allowed = new Set([stableVersion]);
    let next: MoveState | undefined;
    for (const move of moves) {
      this.#place(move, stableVersion, nowUnixMs, next !== undefined);
      if (move.phase === MovePhase.Active) next = move;
      if (move.verdict === MoveVerdict.Done) {
        allowed.add(move.intent.fromVersion).add(move.intent.toVersion);
        if (move.intent.fromVersion === stableVersion) stableVersion = move.intent.toVersion;
      }
      // A caller whose clock is ahead may start the move before this node does.
      const untilStartMs = move.intent.startAtUnixMs - nowUnixMs;
      const isNearStart = untilStartMs > 0 && untilStartMs <= clockSkewMaxMs;
      const isOnStable = move.intent.fromVersion === stableVersion;
      if (isNearStart && isOnStable && !isTakenBack(move)) allowed.add(move.intent.toVersion);
    }
    this.#endWatches(moves, next);
    for (const move of moves) {
      const isStable = move.intent.toVersion === stableVersion;
      if (isTakenBack(move) && !isStable) allowed.delete(move.intent.toVersion);
    }
    if (next) allowed.add(next.intent.fromVersion).add(next.intent.toVersion);
    this.#splits.set(section.service.name, {
      fromVersion: stableVersion,
      toVersion: next?.intent.toVersion ?? stableVersion,
      sharePercent: next?.sharePercent ?? 0,
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

  /** Sets phase and share; a move whose old version is not the one in use waits for it. */
  #place(state: MoveState, stableVersion: string, nowUnixMs: number, isBlocked: boolean): void {
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
          ? this.policy.sharePercent(intent, nowUnixMs, move.provenStage)
          : 0;
    }
  }

  /** A watch ends when the next move of the service starts. */
  #endWatches(moves: readonly MoveState[], next: MoveState | undefined): void {
    if (!next) return;
    for (const state of moves) {
      const move = state;
      if (move.phase === MovePhase.Watching) move.phase = MovePhase.Ended;
    }
  }
}
