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

/** Delegates per level; 7,700 nodes need four levels. */
const fanOut = 16;
const maxMissingIds = 100;
/** Share of the time that one delegate gets, so that a silent one can be replaced once. */
const attemptShare = 0.45;

/** Ids from `first` to `last`, both included. */
interface QueryBody {
  readonly kind: FleetQueryKind;
  readonly params: unknown;
  readonly first: string;
  readonly last: string;
  readonly timeoutMs: number;
}

type UntypedHandler = FleetQueryHandler<unknown, unknown>;

/**
 * Asks every node through a tree of delegates, each responsible for a range of ids.
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

  /** `total` is the number of live members in the views of the asked nodes. */
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
    const own: FleetAnswer<unknown>[] =
      others.length < rows.length
        ? [{ answered: 1, total: 1, missingIds: [], value: handler.answer(body.params) }]
        : [];
    const size = Math.ceil(others.length / fanOut);
    const ranges = Array.from({ length: fanOut }, (_, index) =>
      others.slice(index * size, (index + 1) * size),
    ).filter((range) => range.length > 0);
    const answers = await Promise.all(ranges.map((range) => this.#askRange(range, body)));
    return [...own, ...answers].reduce((left, right) => this.#merge(handler, left, right), {
      answered: 0,
      total: 0,
      missingIds: [],
      value: undefined,
    });
  }

  async #askRange(range: readonly GossipRow[], body: QueryBody): Promise<FleetAnswer<unknown>> {
    const timeoutMs = body.timeoutMs * attemptShare;
    const rangeBody = {
      ...body,
      first: range[0]?.id ?? '',
      last: range[range.length - 1]?.id ?? '',
      timeoutMs,
    };
    const start = this.random.nextInt(range.length);
    // A range of one member has no other delegate; it is asked twice.
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
        // The next delegate of the range is asked; after that its members count as missing.
      }
    }
    const missingIds = range.slice(0, maxMissingIds).map((row) => row.id);
    return { answered: 0, total: range.length, missingIds, value: undefined };
  }

  #merge(
    handler: UntypedHandler,
    left: FleetAnswer<unknown>,
    right: FleetAnswer<unknown>,
  ): FleetAnswer<unknown> {
    const isBoth = left.value !== undefined && right.value !== undefined;
    return {
      answered: left.answered + right.answered,
      total: left.total + right.total,
      missingIds: [...left.missingIds, ...right.missingIds].slice(0, maxMissingIds),
      value: isBoth ? handler.merge(left.value, right.value) : (left.value ?? right.value),
    };
  }
}
