import { assertNever } from '@bronzeyoke/types';
import type { Refusal } from './types';

const STATUS_TEXTS = {
  400: 'Bad Request',
  408: 'Request Timeout',
  413: 'Content Too Large',
  431: 'Request Header Fields Too Large',
  503: 'Service Unavailable',
} as const;

/** Status of a refusal. */
export type RefusalStatus = keyof typeof STATUS_TEXTS;

const RETRY_AFTER_S = 1;

/** Returns the status of a refusal. Each says that the request has not run. */
export function refusalStatus(refusal: Refusal): RefusalStatus {
  switch (refusal) {
    case 'malformed':
    case 'trailer':
      return 400;
    case 'tooSlow':
      return 408;
    case 'bodyTooLong':
      return 413;
    case 'headTooLong':
      return 431;
    case 'bodiesFull':
    case 'connectionsFull':
    case 'tooManyUnanswered':
      return 503;
    default:
      return assertNever(refusal);
  }
}

/** Body of the answer to a refused request. */
export interface RefusalBody {
  readonly contentType: string;
  readonly text: string;
}

/** Encodes a refusal for clients that expect JSON. */
export function describeRefusal(refusal: Refusal): RefusalBody {
  return {
    contentType: 'application/json',
    text: JSON.stringify({ refused: refusal, accepted: false }),
  };
}

/** Encodes the whole answer to a refused request, after which the connection closes. */
export function encodeRefusal(refusal: Refusal, { contentType, text }: RefusalBody): string {
  const status = refusalStatus(refusal);
  return [
    `HTTP/1.1 ${status} ${STATUS_TEXTS[status]}`,
    'connection: close',
    ...(status === 503 ? [`retry-after: ${RETRY_AFTER_S}`] : []),
    `content-type: ${contentType}`,
    `content-length: ${Buffer.byteLength(text)}`,
    '',
    text,
  ].join('\r\n');
}

/** Returns the refusal of what Node's parser or its time-outs reject; undefined for a lost connection. */
export function refusalOfError(code: string | undefined): Refusal | undefined {
  switch (code) {
    case 'ECONNRESET':
    case 'EPIPE':
      return undefined;
    case 'HPE_HEADER_OVERFLOW':
      return 'headTooLong';
    case 'HPE_CHUNK_EXTENSIONS_OVERFLOW':
      return 'bodyTooLong';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return 'tooSlow';
    default:
      return 'malformed';
  }
}
