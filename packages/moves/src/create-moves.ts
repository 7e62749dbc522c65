import type { Logger } from '@sequoiafield/logger';
import type { RangeStore } from '@sequoiafield/store';
import type { RandomSource, System } from '@sequoiafield/tables';
import {
  DirectMessageKind,
  MoveOutcome,
  MoveVerdict,
  type DirectMessenger,
  type EvidenceRecorder,
  type MemberView,
  type MoveStatus,
  type OrdersView,
  type RegisterGossip,
  type RolloutView,
} from '@sequoiafield/types';
import { readServerEvidence } from './read-server-evidence.js';
import { EvidenceSender, type OwnServerView } from './evidence-sender.js';
import { JudgeSelector } from './judge-selector.js';
import { MoveJudge } from './move-judge.js';
import type { MoveRecordCodec } from './move-recorder.js';
import { VersionPolicy } from './version-policy.js';

/** Dependencies of the moves of a node. */
export interface MovesOptions {
  readonly selfId: string;
  readonly orders: OrdersView;
  readonly members: MemberView;
  readonly registers: RegisterGossip;
  readonly messenger: DirectMessenger;
  readonly store: RangeStore;
  readonly codec: MoveRecordCodec;
  readonly ownServer: () => OwnServerView | undefined;
  readonly random: RandomSource;
  readonly logger: Logger;
}

/** View, evidence recorder and systems of the moves of one node. */
export interface Moves {
  readonly view: RolloutView;
  readonly recorder: EvidenceRecorder;
  readonly systems: readonly System[];
}

const verdictByOutcome: Readonly<Record<MoveOutcome, MoveVerdict>> = {
  [MoveOutcome.Running]: MoveVerdict.Undecided,
  [MoveOutcome.Completed]: MoveVerdict.Done,
  [MoveOutcome.RolledBack]: MoveVerdict.RolledBack,
};

/** Factor from a share of 0 to 1 to percent. */
const percentFactor = 100;

/** Adapts a version policy to the interface that the call path reads. */
class PolicyRolloutView implements RolloutView {
  constructor(
    private readonly policy: VersionPolicy,
    private readonly orders: OrdersView,
  ) {}

  chooseVersion(service: string, roll: number): string | undefined {
    return this.policy.choose(service, roll);
  }

  isAllowed(service: string, backendVersion: string): boolean {
    return this.policy.isAllowed(service, backendVersion);
  }

  statuses(): readonly MoveStatus[] {
    return [...this.orders.current().moves.values()].map((order) => {
      const { outcome, share, stage } = this.policy.progressOf(order);
      return {
        moveId: `${order.service} ${order.revision}`,
        verdict: verdictByOutcome[outcome],
        reason: '',
        sharePercent: share * percentFactor,
        provenStage: stage,
      };
    });
  }
}

/**
 * Creates the components of one node that run moves; their `systems` must run in its tick loop.
 *
 * @example
 * const moves = createMoves({ selfId, orders, members, registers, messenger, store, codec, ...rest });
 * moves.view.chooseVersion('settlement', random.next());
 */
export const createMoves = (options: MovesOptions): Moves => {
  const { members, messenger, selfId, orders } = options;
  const policy = new VersionPolicy(options);
  const judges = new JudgeSelector(members);
  const judge = new MoveJudge({ ...options, policy, judges });
  const sender = new EvidenceSender({
    ...options,
    policy,
    judges,
    onOwnEvidence: (evidence) => judge.addEvidence(selfId, evidence),
  });
  messenger.subscribe(DirectMessageKind.MoveEvidence, (body, fromId) => {
    const evidence = readServerEvidence(body);
    if (evidence) judge.addEvidence(fromId, evidence);
  });
  return {
    view: new PolicyRolloutView(policy, orders),
    recorder: sender,
    systems: [judge, sender],
  };
};
