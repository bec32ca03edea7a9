import type { IncomingMessage } from 'node:http';

/** Reads a JSON body; throws if the body is not valid JSON. */
export async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks = await request.toArray();
  return JSON.parse(Buffer.concat(chunks as Buffer[]).toString('utf8'));
}
