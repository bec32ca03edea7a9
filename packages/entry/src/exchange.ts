import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Result } from '@bronzeyoke/types';
import { fail, succeed } from '@bronzeyoke/types';
import { MAX_BODY_BYTES } from '@bronzeyoke/wire';
import type { Problem } from './problem';

/** Reads a body up to the size limit. A longer body is read to its end and refused. */
export function readBody(request: IncomingMessage): Promise<Result<Uint8Array>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let lengthBytes = 0;
    request.on('data', (chunk: Buffer) => {
      lengthBytes += chunk.length;
      if (lengthBytes <= MAX_BODY_BYTES) chunks.push(chunk);
    });
    request.on('close', () => {
      if (lengthBytes > MAX_BODY_BYTES) {
        resolve(fail({ kind: 'tooLarge', limitBytes: MAX_BODY_BYTES }));
      } else if (!request.complete) {
        resolve(fail({ kind: 'invalid', field: 'body', problem: 'cut short' }));
      } else {
        resolve(succeed(Buffer.concat(chunks)));
      }
    });
    request.on('error', () => request.destroy());
  });
}

/** Sends a problem document as the response. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  response.writeHead(problem.status, { 'content-type': 'application/problem+json' });
  response.end(JSON.stringify(problem));
}
