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
  /** The body of the answer was aborted after its head was sent. */
  Reset = 10,
  Draining = 11,
  Request = 12,
  Response = 13,
}

/** Payload length (4 bytes), kind (1 byte) and sequence of the exchange (8 bytes, float64). */
export const frameHeaderBytes = 13;
const kindOffsetBytes = 4;
const idOffsetBytes = 5;
/** Size of a byte count, or of the offset of a data frame within its body (uint32). */
const byteCountFieldBytes = 4;

/** Handles one frame of a message; `payload` is a view into the message. */
export type FrameHandler = (kind: FrameKind, id: number, payload: Buffer) => void;

const writeHeader = (kind: FrameKind, id: number, payloadBytes: number): Buffer => {
  const header = Buffer.allocUnsafe(frameHeaderBytes);
  header.writeUInt32BE(payloadBytes, 0);
  header[kindOffsetBytes] = kind;
  header.writeDoubleBE(id, idOffsetBytes);
  return header;
};

/**
 * Encodes a frame as a list of buffers, so that a body is copied only when the message is
 * assembled.
 *
 * @example
 * const buffers = encodeFrame(FrameKind.Cancel, sequence);
 */
export const encodeFrame = (kind: FrameKind, id: number, payload?: Uint8Array): Uint8Array[] =>
  payload ? [writeHeader(kind, id, payload.byteLength), payload] : [writeHeader(kind, id, 0)];

/**
 * Encodes a data frame; `offsetBytes` is the position of `bytes` in the body.
 *
 * @example
 * const buffers = encodeDataFrame(sequence, 0, Buffer.from('abc'));
 */
export const encodeDataFrame = (
  id: number,
  offsetBytes: number,
  bytes: Uint8Array,
): Uint8Array[] => {
  const offset = Buffer.allocUnsafe(byteCountFieldBytes);
  offset.writeUInt32BE(offsetBytes, 0);
  return [writeHeader(FrameKind.Data, id, byteCountFieldBytes + bytes.byteLength), offset, bytes];
};

/**
 * Encodes the number of bytes that an end or window frame carries.
 *
 * @example
 * const payload = encodeByteCount(1024);
 */
export const encodeByteCount = (bytes: number): Buffer => {
  const payload = Buffer.allocUnsafe(byteCountFieldBytes);
  payload.writeUInt32BE(bytes, 0);
  return payload;
};

/** Decodes the number of bytes of an end or window frame, or the offset of a data frame. */
export const decodeByteCount = (payload: Buffer): number => payload.readUInt32BE(0);

/** Returns the body bytes of a data frame. */
export const decodeDataBytes = (payload: Buffer): Buffer => payload.subarray(byteCountFieldBytes);

/**
 * Calls the handler for each frame of a WebSocket message.
 *
 * @example
 * readFrames(message, (kind, id, payload) => session.onFrame(kind, id, payload));
 * @throws TransportError if the message ends inside a frame
 */
export const readFrames = (message: Buffer, onFrame: FrameHandler): void => {
  let offsetInMessage = 0;
  while (offsetInMessage < message.byteLength) {
    const start = offsetInMessage + frameHeaderBytes;
    const end =
      start <= message.byteLength ? start + message.readUInt32BE(offsetInMessage) : Infinity;
    if (end > message.byteLength) {
      throw new TransportError(`A message of ${message.byteLength} bytes ends inside a frame`);
    }
    onFrame(
      message[offsetInMessage + kindOffsetBytes] as FrameKind,
      message.readDoubleBE(offsetInMessage + idOffsetBytes),
      message.subarray(start, end),
    );
    offsetInMessage = end;
  }
};
