import type { UpstreamAnswer } from '@bronzeyoke/types';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** The body of a caller's request: its id, or its key so that repeats are equal. */
export function bodyOf(name: string): Uint8Array {
  return encoder.encode(name);
}

/** What an upstream has to answer to a body. */
export function answerTo(body: Uint8Array): UpstreamAnswer {
  return { status: 200, headers: {}, body: encoder.encode(`done ${decoder.decode(body)}`) };
}
