import type { UpstreamAnswer } from '@bronzeyoke/types';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes the body of a request from its id, or from its key so that repeats are equal. */
export function requestBody(name: string): Uint8Array {
  return encoder.encode(name);
}

/** Returns the answer that an upstream has to give to a body. */
export function expectedAnswer(body: Uint8Array): UpstreamAnswer {
  return { status: 200, headers: {}, body: encoder.encode(`done ${decoder.decode(body)}`) };
}
