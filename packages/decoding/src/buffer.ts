import type { Readable } from 'node:stream';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';

/** Size of the first buffer of a body whose length is not announced. */
const FIRST_BYTES = 1_024;

/** Bytes of a body, in one buffer that grows, so that a small chunk costs no object of its own. */
export interface BodyBuffer {
  readonly buffer: Buffer;
  readonly lengthBytes: number;
}

/** Body without bytes. */
export const EMPTY_BODY: BodyBuffer = { buffer: Buffer.alloc(0), lengthBytes: 0 };

/** Returns the size that the buffer needs for another chunk: at most the limit, unless the chunk exceeds it. */
export function neededBytes(body: BodyBuffer, chunkBytes: number, limitBytes: number): number {
  const lengthBytes = body.lengthBytes + chunkBytes;
  if (lengthBytes <= body.buffer.length) return body.buffer.length;
  const doubled = Math.max(FIRST_BYTES, body.buffer.length * 2);
  return Math.max(lengthBytes, Math.min(doubled, limitBytes));
}

/** Appends a chunk. The buffer is shared with the earlier value, which must not be used again. */
export function appendChunk(body: BodyBuffer, chunk: Buffer, sizeBytes: number): BodyBuffer {
  const isLargeEnough = sizeBytes === body.buffer.length;
  // Buffers from the pool would keep blocks of the pool alive.
  const buffer = isLargeEnough ? body.buffer : Buffer.allocUnsafeSlow(sizeBytes);
  if (!isLargeEnough) body.buffer.copy(buffer, 0, 0, body.lengthBytes);
  chunk.copy(buffer, body.lengthBytes);
  return { buffer, lengthBytes: body.lengthBytes + chunk.length };
}

/** Returns the bytes of a body. */
export function bytesOf({ buffer, lengthBytes }: BodyBuffer): Buffer {
  return buffer.subarray(0, lengthBytes);
}

/** Reason for which a stream was not collected. */
export type CollectFault =
  | { readonly kind: 'tooLong'; readonly limitBytes: number }
  | { readonly kind: 'brokeOff'; readonly cause?: unknown };

/** Collects the bytes of a stream. One that exceeds the limit is destroyed. */
export function collectBytes(
  stream: Readable,
  limitBytes: number,
  done: (result: Result<Buffer, CollectFault>) => void,
): void {
  const current: { body: BodyBuffer; isDone: boolean } = { body: EMPTY_BODY, isDone: false };
  const finish = (result: Result<Buffer, CollectFault>): void => {
    if (current.isDone) return;
    current.isDone = true;
    done(result);
  };
  stream.on('data', (chunk: Buffer) => {
    if (current.isDone) return;
    const sizeBytes = neededBytes(current.body, chunk.length, limitBytes);
    if (sizeBytes <= limitBytes) {
      current.body = appendChunk(current.body, chunk, sizeBytes);
      return;
    }
    current.body = EMPTY_BODY;
    finish(fail({ kind: 'tooLong', limitBytes }));
    stream.destroy();
  });
  stream.on('end', () => finish(succeed(bytesOf(current.body))));
  stream.on('error', (cause) => finish(fail({ kind: 'brokeOff', cause })));
  stream.on('close', () => finish(fail({ kind: 'brokeOff' })));
}
