import { MemberState, RegisterKind, type RegisterEntry } from '@sequoiafield/types';
import { Packr } from 'msgpackr';
import { createMembershipError } from './create-membership-error.js';
import type { GossipRow } from './gossip-row.js';

/** Largest datagram; stays under the usual path MTU, so that none is fragmented. */
export const datagramMaxBytes = 1200;

/** First element of every datagram; another value means a foreign sender or wire format. */
const wireTag = 'sqf1';

/** Kinds of gossip datagrams. */
export enum GossipMessageType {
  Ping = 1,
  Ack = 2,
  PingRequest = 3,
  IndirectAck = 4,
  Nack = 5,
  Push = 6,
  RegisterSummary = 7,
  Direct = 8,
}

/** Kinds of items that a datagram carries. */
export enum GossipItemKind {
  Row = 0,
  State = 1,
  Register = 2,
}

/** A member's state without its addresses; `observers` says who suspects it. */
export interface StateRumour {
  readonly id: string;
  readonly announcedIncarnation: number;
  readonly incarnation: number;
  readonly refutation: number;
  readonly state: MemberState;
  readonly observers: readonly string[];
}

/** Decoded datagram. */
export interface GossipMessage {
  readonly type: GossipMessageType;
  readonly fromId: string;
  readonly fromIncarnation: number;
  /** Rank of the sender's `Head` register; 0 if it has none. */
  readonly headRank: number;
  /** Hash over all registers of the sender. */
  readonly registerHash: number;
  readonly sequence: number;
  readonly argument: unknown;
  readonly items: readonly Uint8Array[];
}

/** Decoded item of a datagram. */
export type GossipItem =
  | { readonly kind: GossipItemKind.Row; readonly row: GossipRow }
  | { readonly kind: GossipItemKind.State; readonly rumour: StateRumour }
  | { readonly kind: GossipItemKind.Register; readonly entry: RegisterEntry };

/** Elements of an encoded row, in wire order. */
export type RowTuple = readonly [
  id: string,
  incarnation: number,
  refutation: number,
  state: MemberState,
  configVersion: number,
  address: string,
  gossipPort: number,
  linkPort: number,
  callPort: number,
  region: string,
  dataCentre: string,
  service: string,
  backendVersion: string,
  /** Announced incarnation less the incarnation; left out with what follows if both are 0. */
  raisedBy?: number,
  serverRevision?: number,
];

const packr = new Packr({ useRecords: false });

const fail = (what: string): never => {
  throw createMembershipError(`Datagram is malformed: ${what}`);
};

const asArray = (value: unknown, length: number, what: string): readonly unknown[] =>
  Array.isArray(value) && value.length === length ? value : fail(what);

/** Like `asArray`, for tuples whose last element may be left out. */
const asOpenArray = (value: unknown, length: number, what: string): readonly unknown[] =>
  asArray(value, Array.isArray(value) && value.length === length + 1 ? length + 1 : length, what);

const rowLength = 13;

/** A row may leave out its last two elements. */
const asRowTuple = (value: unknown): readonly unknown[] =>
  Array.isArray(value) && value.length >= rowLength && value.length <= rowLength + 2
    ? value
    : fail('row');

const asText = (value: unknown, what: string): string =>
  typeof value === 'string' && value.length <= 255 ? value : fail(what);

const asCount = (value: unknown, what: string): number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : fail(what);

const asState = (value: unknown): MemberState =>
  typeof value === 'number' && MemberState[value] !== undefined ? value : fail('state');

const encodeRaised = (row: Pick<GossipRow, 'announcedIncarnation' | 'incarnation'>): number[] => {
  const raisedBy = row.announcedIncarnation - row.incarnation;
  return raisedBy > 0 ? [raisedBy] : [];
};

const decodeRaised = (incarnation: unknown, raisedBy: unknown): number =>
  asCount(incarnation, 'incarnation') + asCount(raisedBy ?? 0, 'raised by');

/** Wire order of a row. */
export const rowToTuple = (row: GossipRow): RowTuple => [
  row.id,
  row.incarnation,
  row.refutation,
  row.state,
  row.configVersion,
  row.address,
  row.gossipPort,
  row.linkPort,
  row.callPort,
  row.region,
  row.dataCentre,
  row.service,
  row.backendVersion,
  ...((row.serverRevision > 0
    ? [row.announcedIncarnation - row.incarnation, row.serverRevision]
    : encodeRaised(row)) as [number?, number?]),
];

/** Checks and converts a row that another node sent; throws `MembershipError`. */
export const tupleToRow = (value: unknown): GossipRow => {
  const tuple = asRowTuple(value);
  return {
    id: asText(tuple[0], 'id'),
    incarnation: asCount(tuple[1], 'incarnation'),
    refutation: asCount(tuple[2], 'refutation'),
    state: asState(tuple[3]),
    configVersion: asCount(tuple[4], 'configVersion'),
    address: asText(tuple[5], 'address'),
    gossipPort: asCount(tuple[6], 'gossipPort'),
    linkPort: asCount(tuple[7], 'linkPort'),
    callPort: asCount(tuple[8], 'callPort'),
    region: asText(tuple[9], 'region'),
    dataCentre: asText(tuple[10], 'dataCentre'),
    service: asText(tuple[11], 'service'),
    backendVersion: asText(tuple[12], 'backendVersion'),
    announcedIncarnation: decodeRaised(tuple[1], tuple[13]),
    serverRevision: asCount(tuple[14] ?? 0, 'server revision'),
    stateChangedAtMs: 0,
  };
};

/**
 * Encodes a whole row as an item.
 *
 * @example
 * const item = encodeRow(membershipRow);
 */
export const encodeRow = (row: GossipRow): Uint8Array =>
  packr.pack([GossipItemKind.Row, rowToTuple(row)]);

/**
 * Encodes a state rumour as an item of about 40 bytes.
 *
 * @example
 * const item = encodeStateRumour({ ...row, state: MemberState.Draining, observers: [] });
 */
export const encodeStateRumour = (rumour: StateRumour): Uint8Array =>
  packr.pack([
    GossipItemKind.State,
    [
      ...[rumour.id, rumour.incarnation, rumour.refutation, rumour.state, rumour.observers],
      ...encodeRaised(rumour),
    ],
  ]);

/**
 * Encodes a register entry as an item.
 *
 * @example
 * const item = encodeRegister({ kind: RegisterKind.Head, key: 'head', rank: 7, body: head });
 */
export const encodeRegister = (entry: RegisterEntry): Uint8Array =>
  packr.pack([GossipItemKind.Register, [entry.kind, entry.key, entry.rank, entry.body]]);

const decodeState = (value: unknown): StateRumour => {
  const tuple = asOpenArray(value, 5, 'state rumour');
  const observers = Array.isArray(tuple[4]) ? tuple[4] : fail('observers');
  return {
    id: asText(tuple[0], 'id'),
    incarnation: asCount(tuple[1], 'incarnation'),
    announcedIncarnation: decodeRaised(tuple[1], tuple[5]),
    refutation: asCount(tuple[2], 'refutation'),
    state: asState(tuple[3]),
    observers: observers.slice(0, 8).map((observer) => asText(observer, 'observer')),
  };
};

const decodeRegister = (value: unknown): RegisterEntry => {
  const tuple = asArray(value, 4, 'register');
  const kind = asCount(tuple[0], 'register kind');
  if (RegisterKind[kind] === undefined) fail('register kind');
  return {
    kind,
    key: asText(tuple[1], 'register key'),
    rank: asCount(tuple[2], 'register rank'),
    body: tuple[3],
  };
};

const unpack = (bytes: Uint8Array): unknown => {
  try {
    return packr.unpack(bytes);
  } catch (cause) {
    throw createMembershipError('Datagram is malformed: not MessagePack', cause);
  }
};

/** Decodes one item; throws `MembershipError`. */
export const decodeItem = (bytes: Uint8Array): GossipItem => {
  const [kind, value] = asArray(unpack(bytes), 2, 'item');
  if (kind === GossipItemKind.Row) return { kind, row: tupleToRow(value) };
  if (kind === GossipItemKind.State) return { kind, rumour: decodeState(value) };
  if (kind === GossipItemKind.Register) return { kind, entry: decodeRegister(value) };
  return fail('item kind');
};

/**
 * Encodes a datagram.
 *
 * @example
 * port.send(encodeMessage({ ...head, type: GossipMessageType.Ping, items: [encodeRow(self)] }), to);
 */
export const encodeMessage = (message: GossipMessage): Uint8Array =>
  packr.pack([
    wireTag,
    message.type,
    message.fromId,
    message.fromIncarnation,
    message.headRank,
    message.registerHash,
    message.sequence,
    message.argument,
    message.items,
  ]);

/**
 * Decodes a datagram; throws `MembershipError` on malformed or foreign bytes.
 *
 * @example
 * const { fromId, type } = decodeMessage(bytes);
 */
export const decodeMessage = (bytes: Uint8Array): GossipMessage => {
  const parts = asArray(unpack(bytes), 9, 'message');
  if (parts[0] !== wireTag) fail('wire tag');
  const type = asCount(parts[1], 'type');
  if (GossipMessageType[type] === undefined) fail('type');
  const items = parts[8];
  if (!Array.isArray(items) || !items.every((item) => item instanceof Uint8Array)) fail('items');
  return {
    type,
    fromId: asText(parts[2], 'sender'),
    fromIncarnation: asCount(parts[3], 'incarnation'),
    headRank: asCount(parts[4], 'head rank'),
    registerHash: asCount(parts[5], 'register hash'),
    sequence: asCount(parts[6], 'sequence'),
    argument: parts[7],
    items: items as readonly Uint8Array[],
  };
};
