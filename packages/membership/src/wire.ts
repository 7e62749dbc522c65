import { isIP } from 'node:net';
import { MemberState, RegisterKind, type RegisterEntry } from '@sequoiafield/types';
import { Packr } from 'msgpackr';
import { createMembershipError } from './create-membership-error.js';
import type { GossipRow } from './gossip-row.js';

/** Maximum datagram size, below the usual path MTU so that no datagram is fragmented. */
export const datagramMaxBytes = 1200;

/** First element of every datagram; any other value shows a foreign sender or wire format. */
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

/** A member's state without its addresses; `observers` lists the ids of those that suspect it. */
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
  /** Announced incarnation minus incarnation; trailing elements without content are omitted. */
  announcedOffset?: number,
  serverRevision?: number,
  departedServer?: readonly [instanceId: string, bornAtUnixMs: number],
];

const packr = new Packr({ useRecords: false });

const throwMalformed = (what: string): never => {
  throw createMembershipError(`Membership message is malformed: invalid ${what}`);
};

const asArray = (value: unknown, length: number, what: string): readonly unknown[] =>
  Array.isArray(value) && value.length === length ? value : throwMalformed(what);

/** Like `asArray`, for tuples whose last element is optional. */
const asArrayWithOptionalLast = (
  value: unknown,
  length: number,
  what: string,
): readonly unknown[] =>
  asArray(value, Array.isArray(value) && value.length === length + 1 ? length + 1 : length, what);

const rowRequiredElementsCount = 13;

/** Checks a row, whose last three elements are optional. */
const asRowTuple = (value: unknown): readonly unknown[] =>
  Array.isArray(value) &&
  value.length >= rowRequiredElementsCount &&
  value.length <= rowRequiredElementsCount + 3
    ? value
    : throwMalformed('row');

const asText = (value: unknown, what: string): string =>
  typeof value === 'string' && value.length <= 255 ? value : throwMalformed(what);

const asNonNegativeNumber = (value: unknown, what: string): number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : throwMalformed(what);

const asIpAddress = (value: unknown, what: string): string =>
  typeof value === 'string' && isIP(value) !== 0 ? value : throwMalformed(what);

const portMax = 65_535;

const asPort = (value: unknown, what: string): number =>
  Number.isInteger(value) && (value as number) > 0 && (value as number) <= portMax
    ? (value as number)
    : throwMalformed(what);

const asState = (value: unknown): MemberState =>
  typeof value === 'number' && MemberState[value] !== undefined ? value : throwMalformed('state');

const encodeAnnouncedOffset = (
  row: Pick<GossipRow, 'announcedIncarnation' | 'incarnation'>,
): number[] => {
  const announcedOffset = row.announcedIncarnation - row.incarnation;
  return announcedOffset > 0 ? [announcedOffset] : [];
};

const decodeAnnouncedIncarnation = (incarnation: unknown, announcedOffset: unknown): number =>
  asNonNegativeNumber(incarnation, 'incarnation') +
  asNonNegativeNumber(announcedOffset ?? 0, 'announced incarnation offset');

const encodeOptionalElements = (row: GossipRow): [number?, number?, [string, number]?] => {
  const announcedOffset = row.announcedIncarnation - row.incarnation;
  const { departedServer, serverRevision } = row;
  if (departedServer) {
    const { instanceId, bornAtUnixMs } = departedServer;
    return [announcedOffset, serverRevision, [instanceId, bornAtUnixMs]];
  }
  if (serverRevision > 0) return [announcedOffset, serverRevision];
  return encodeAnnouncedOffset(row) as [number?];
};

/** Decodes the departed server of a row, if the row has one. */
const decodeDepartedServer = (value: unknown): Pick<GossipRow, 'departedServer'> => {
  if (value === undefined) return {};
  const [instanceId, bornAtUnixMs] = asArray(value, 2, 'departed server');
  return {
    departedServer: {
      instanceId: asText(instanceId, 'departed server'),
      bornAtUnixMs: asNonNegativeNumber(bornAtUnixMs, 'start of the departed server'),
    },
  };
};

/** Returns the elements of a row in wire order. */
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
  ...encodeOptionalElements(row),
];

/** Checks and converts a row received from another node; throws `MembershipError`. */
export const tupleToRow = (value: unknown): GossipRow => {
  const tuple = asRowTuple(value);
  return {
    id: asText(tuple[0], 'id'),
    incarnation: asNonNegativeNumber(tuple[1], 'incarnation'),
    refutation: asNonNegativeNumber(tuple[2], 'refutation'),
    state: asState(tuple[3]),
    configVersion: asNonNegativeNumber(tuple[4], 'configVersion'),
    address: asIpAddress(tuple[5], 'address'),
    gossipPort: asPort(tuple[6], 'gossipPort'),
    linkPort: asPort(tuple[7], 'linkPort'),
    callPort: asPort(tuple[8], 'callPort'),
    region: asText(tuple[9], 'region'),
    dataCentre: asText(tuple[10], 'dataCentre'),
    service: asText(tuple[11], 'service'),
    backendVersion: asText(tuple[12], 'backendVersion'),
    announcedIncarnation: decodeAnnouncedIncarnation(tuple[1], tuple[13]),
    serverRevision: asNonNegativeNumber(tuple[14] ?? 0, 'server revision'),
    ...decodeDepartedServer(tuple[15]),
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
      ...encodeAnnouncedOffset(rumour),
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
  const tuple = asArrayWithOptionalLast(value, 5, 'state rumour');
  const observers = Array.isArray(tuple[4]) ? tuple[4] : throwMalformed('observers');
  return {
    id: asText(tuple[0], 'id'),
    incarnation: asNonNegativeNumber(tuple[1], 'incarnation'),
    announcedIncarnation: decodeAnnouncedIncarnation(tuple[1], tuple[5]),
    refutation: asNonNegativeNumber(tuple[2], 'refutation'),
    state: asState(tuple[3]),
    observers: observers.slice(0, 8).map((observer) => asText(observer, 'observer')),
  };
};

const decodeRegister = (value: unknown): RegisterEntry => {
  const tuple = asArray(value, 4, 'register');
  const kind = asNonNegativeNumber(tuple[0], 'register kind');
  if (RegisterKind[kind] === undefined) throwMalformed('register kind');
  return {
    kind,
    key: asText(tuple[1], 'register key'),
    rank: asNonNegativeNumber(tuple[2], 'register rank'),
    body: tuple[3],
  };
};

const unpack = (bytes: Uint8Array): unknown => {
  try {
    return packr.unpack(bytes);
  } catch (cause) {
    throw createMembershipError(
      'Membership message is malformed: a datagram or item is not valid MessagePack',
      cause,
    );
  }
};

/** Decodes one item; throws `MembershipError`. */
export const decodeItem = (bytes: Uint8Array): GossipItem => {
  const [kind, value] = asArray(unpack(bytes), 2, 'item');
  if (kind === GossipItemKind.Row) return { kind, row: tupleToRow(value) };
  if (kind === GossipItemKind.State) return { kind, rumour: decodeState(value) };
  if (kind === GossipItemKind.Register) return { kind, entry: decodeRegister(value) };
  return throwMalformed('item kind');
};

/**
 * Encodes a datagram.
 *
 * @example
 * socket.send(encodeMessage({ ...head, type: GossipMessageType.Ping, items: [encodeRow(self)] }), to);
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
  const elements = asArray(unpack(bytes), 9, 'message');
  if (elements[0] !== wireTag) throwMalformed('wire tag');
  const type = asNonNegativeNumber(elements[1], 'type');
  if (GossipMessageType[type] === undefined) throwMalformed('type');
  const items = elements[8];
  if (!Array.isArray(items) || !items.every((item) => item instanceof Uint8Array))
    throwMalformed('items');
  return {
    type,
    fromId: asText(elements[2], 'sender'),
    fromIncarnation: asNonNegativeNumber(elements[3], 'incarnation'),
    headRank: asNonNegativeNumber(elements[4], 'head rank'),
    registerHash: asNonNegativeNumber(elements[5], 'register hash'),
    sequence: asNonNegativeNumber(elements[6], 'sequence'),
    argument: elements[7],
    items: items as readonly Uint8Array[],
  };
};
