import { TransportError } from '@sequoiafield/errors';

/** Kinds of frames on a link. */
export enum FrameKind {
  Hello = 1,
  Heartbeat = 2,
  Open = 3,
  Data = 4,
  End = 5,
  Window = 6,
  Cancel = 7,
  Answer = 8,
  Refuse = 9,
  /** The answer's body broke off after its head was sent. */
  Reset = 10,
  Draining = 11,
  Request = 12,
  Response = 13,
}

/** Length (4 bytes), kind (1 byte) and the sequence of the attempt (8 bytes, float64). */
export const frameHeaderBytes = 13;
const kindOffset = 4;
const idOffset = 5;
/** Offset of a data frame within its body. */
const dataOffsetBytes = 4;

/** Receives each frame of a message; `payload` is a view of the message. */
export type FrameHandler = (kind: FrameKind, id: number, payload: Buffer) => void;

const writeHeader = (kind: FrameKind, id: number, payloadBytes: number): Buffer => {
  const header = Buffer.allocUnsafe(frameHeaderBytes);
  header.writeUInt32BE(payloadBytes, 0);
  header[kindOffset] = kind;
  header.writeDoubleBE(id, idOffset);
  return header;
};

/**
 * Encodes a frame as parts, so that a body is copied once, when the message is put together.
 *
 * @example
 * const parts = encodeFrame(FrameKind.Cancel, sequence);
 */
export const encodeFrame = (kind: FrameKind, id: number, payload?: Uint8Array): Uint8Array[] =>
  payload ? [writeHeader(kind, id, payload.byteLength), payload] : [writeHeader(kind, id, 0)];

/**
 * Encodes a data frame; `offsetBytes` is the place of `bytes` in the body.
 *
 * @example
 * const parts = encodeDataFrame(sequence, 0, Buffer.from('abc'));
 */
export const encodeDataFrame = (
  id: number,
  offsetBytes: number,
  bytes: Uint8Array,
): Uint8Array[] => {
  const offset = Buffer.allocUnsafe(dataOffsetBytes);
  offset.writeUInt32BE(offsetBytes, 0);
  return [writeHeader(FrameKind.Data, id, dataOffsetBytes + bytes.byteLength), offset, bytes];
};

/**
 * Encodes the number of bytes that an end or window frame carries.
 *
 * @example
 * const payload = encodeByteCount(1024);
 */
export const encodeByteCount = (bytes: number): Buffer => {
  const payload = Buffer.allocUnsafe(dataOffsetBytes);
  payload.writeUInt32BE(bytes, 0);
  return payload;
};

/** Reads the number of bytes of an end or window frame, or the offset of a data frame. */
export const decodeByteCount = (payload: Buffer): number => payload.readUInt32BE(0);

/** Body bytes of a data frame. */
export const decodeDataBytes = (payload: Buffer): Buffer => payload.subarray(dataOffsetBytes);

/**
 * Calls the handler for each frame of a WebSocket message.
 *
 * @example
 * readFrames(message, (kind, id, payload) => session.onFrame(kind, id, payload));
 * @throws TransportError if the message ends inside a frame
 */
export const readFrames = (message: Buffer, onFrame: FrameHandler): void => {
  let at = 0;
  while (at < message.byteLength) {
    const start = at + frameHeaderBytes;
    const end = start <= message.byteLength ? start + message.readUInt32BE(at) : Infinity;
    if (end > message.byteLength) {
      throw new TransportError(`A message of ${message.byteLength} bytes ends inside a frame`);
    }
    onFrame(
      message[at + kindOffset] as FrameKind,
      message.readDoubleBE(at + idOffset),
      message.subarray(start, end),
    );
    at = end;
  }
};
