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
import type { ServerEvidence } from './server-evidence.js';
import { EvidenceSender, type OwnServerView } from './evidence-sender.js';
import { JudgeSelector } from './judge-selector.js';
import { MoveJudge } from './move-judge.js';
import type { MoveRecordCodec } from './move-recorder.js';
import { VersionPolicy } from './version-policy.js';

/** What the moves of a node need. */
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

/** Moves of one node. */
export interface Moves {
  readonly view: RolloutView;
  readonly recorder: EvidenceRecorder;
  readonly systems: readonly System[];
}

const verdicts: Readonly<Record<MoveOutcome, MoveVerdict>> = {
  [MoveOutcome.Running]: MoveVerdict.Undecided,
  [MoveOutcome.Completed]: MoveVerdict.Done,
  [MoveOutcome.RolledBack]: MoveVerdict.RolledBack,
};

const percent = 100;

/** Shows a version policy as the call path reads moves. */
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
        verdict: verdicts[outcome],
        reason: '',
        sharePercent: share * percent,
        provenStage: stage,
      };
    });
  }
}

/** Evidence of another node, if it has the shape of one. */
const readEvidence = (body: unknown): ServerEvidence | undefined => {
  const evidence = (body ?? {}) as Partial<ServerEvidence>;
  const isEvidence =
    typeof evidence.service === 'string' &&
    typeof evidence.orderRevision === 'number' &&
    typeof evidence.backendVersion === 'string' &&
    typeof evidence.runningCalls === 'number' &&
    typeof evidence.routes === 'object';
  return isEvidence ? (evidence as ServerEvidence) : undefined;
};

/**
 * Creates the moves of one node. Run its `systems` in the node's tick loop.
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
    const evidence = readEvidence(body);
    if (evidence) judge.addEvidence(fromId, evidence);
  });
  return {
    view: new PolicyRolloutView(policy, orders),
    recorder: sender,
    systems: [judge, sender],
  };
};
