import type { RandomSource } from '@sequoiafield/tables';
import {
  LinkRequestKind,
  type FleetAnswer,
  type FleetQuery,
  type FleetQueryHandler,
  type FleetQueryKind,
  type LinkRequester,
} from '@sequoiafield/types';
import { createMembershipError } from './create-membership-error.js';
import type { GossipRow } from './gossip-row.js';
import { isLiveState } from './gossip-row.js';
import type { MembersTable } from './members-table.js';

/** Maximum number of delegates that one node queries; a tree of 7,700 nodes has four levels. */
const delegatesPerNodeMax = 16;
const missingIdsMax = 100;
/** Share of the timeout for one delegate, so that one that does not answer can be replaced once. */
const attemptTimeoutShare = 0.45;

/** Query for the members with ids from `first` to `last`, both included. */
interface QueryBody {
  readonly kind: FleetQueryKind;
  readonly params: unknown;
  readonly first: string;
  readonly last: string;
  readonly timeoutMs: number;
}

type UntypedHandler = FleetQueryHandler<unknown, unknown>;

/**
 * Queries every node through a tree of delegates, each responsible for a range of ids.
 *
 * @example
 * query.register(FleetQueryKind.ActiveVersion, { answer: () => 1, merge: (left, right) => left + right });
 * const answer = await query.ask(FleetQueryKind.ActiveVersion, {}, 2000);
 */
export class TreeFleetQuery implements FleetQuery {
  readonly #handlers = new Map<FleetQueryKind, UntypedHandler>();

  constructor(
    private readonly members: MembersTable,
    private readonly links: LinkRequester,
    private readonly random: RandomSource,
  ) {
    links.handle(LinkRequestKind.FleetQuery, (body) => this.#answer(body as QueryBody));
  }

  register<P, T>(kind: FleetQueryKind, handler: FleetQueryHandler<P, T>): void {
    this.#handlers.set(kind, handler);
  }

  /** Queries all live members; `total` is their number in the views of the queried nodes. */
  async ask<P, T>(kind: FleetQueryKind, params: P, timeoutMs: number): Promise<FleetAnswer<T>> {
    const rows = this.#liveRows();
    const first = rows[0]?.id ?? this.members.selfId;
    const last = rows[rows.length - 1]?.id ?? this.members.selfId;
    const body = { kind, params, first, last, timeoutMs };
    return (await this.#answer(body)) as FleetAnswer<T>;
  }

  #liveRows(first = '', last?: string): readonly GossipRow[] {
    return this.members
      .live()
      .filter((row) => isLiveState(row.state) && row.id >= first && (!last || row.id <= last))
      .sort((left, right) => (left.id < right.id ? -1 : 1));
  }

  async #answer(body: QueryBody): Promise<FleetAnswer<unknown>> {
    const handler = this.#handlers.get(body.kind);
    if (!handler) throw createMembershipError(`Fleet query ${body.kind} has no handler`);
    const rows = this.#liveRows(body.first, body.last);
    const others = rows.filter((row) => row.id !== this.members.selfId);
    const ownAnswers: FleetAnswer<unknown>[] =
      others.length < rows.length
        ? [{ answered: 1, total: 1, missingIds: [], value: handler.answer(body.params) }]
        : [];
    const rangeSize = Math.ceil(others.length / delegatesPerNodeMax);
    const ranges = Array.from({ length: delegatesPerNodeMax }, (_, index) =>
      others.slice(index * rangeSize, (index + 1) * rangeSize),
    ).filter((range) => range.length > 0);
    const answers = await Promise.all(ranges.map((range) => this.#queryRange(range, body)));
    return [...ownAnswers, ...answers].reduce((left, right) => this.#merge(handler, left, right), {
      answered: 0,
      total: 0,
      missingIds: [],
      value: undefined,
    });
  }

  async #queryRange(range: readonly GossipRow[], body: QueryBody): Promise<FleetAnswer<unknown>> {
    const timeoutMs = body.timeoutMs * attemptTimeoutShare;
    const rangeBody = {
      ...body,
      first: range[0]?.id ?? '',
      last: range[range.length - 1]?.id ?? '',
      timeoutMs,
    };
    const start = this.random.nextInt(range.length);
    // A range of one member has no other delegate, so that member is queried twice.
    for (const offset of [0, 1]) {
      const delegate = range[(start + offset) % range.length] as GossipRow;
      try {
        return (await this.links.request(
          delegate,
          LinkRequestKind.FleetQuery,
          rangeBody,
          timeoutMs,
        )) as FleetAnswer<unknown>;
      } catch {
        // The next delegate of the range is queried; if it fails too, all members of the range are missing.
      }
    }
    const missingIds = range.slice(0, missingIdsMax).map((row) => row.id);
    return { answered: 0, total: range.length, missingIds, value: undefined };
  }

  #merge(
    handler: UntypedHandler,
    left: FleetAnswer<unknown>,
    right: FleetAnswer<unknown>,
  ): FleetAnswer<unknown> {
    const haveBothValues = left.value !== undefined && right.value !== undefined;
    return {
      answered: left.answered + right.answered,
      total: left.total + right.total,
      missingIds: [...left.missingIds, ...right.missingIds].slice(0, missingIdsMax),
      value: haveBothValues ? handler.merge(left.value, right.value) : (left.value ?? right.value),
    };
  }
}
