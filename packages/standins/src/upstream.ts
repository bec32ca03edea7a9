import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { listen } from './server';
import { SHEAR_MODULUS_MPA, calculateSpring } from './spring';

const materials = Object.keys(SHEAR_MODULUS_MPA) as (keyof typeof SHEAR_MODULUS_MPA)[];
const positive = z.number().positive().max(1e6);

const springSchema = z.strictObject({
  springKind: z.enum(['compression', 'torsion']),
  wireDiameterMm: positive,
  coilDiameterMm: positive,
  activeTurns: positive,
  material: z.enum(materials),
  travelMm: z.number().min(0).max(1e6).default(0),
});

/** Faults of the stand-in. They can be changed while it runs. */
export interface UpstreamFaults {
  readonly delayMs: number;
  /** Closes the connection in the middle of an answer's body. */
  readonly cutsAnswers: boolean;
  /** Reads requests and never answers. */
  readonly isSilent: boolean;
}

/** Faults of an upstream that works normally. */
export const NO_UPSTREAM_FAULTS: UpstreamFaults = {
  delayMs: 0,
  cutsAnswers: false,
  isSilent: false,
};

/** A running stand-in of an upstream. */
export interface StandinUpstream {
  readonly port: number;
  readonly setFaults: (faults: UpstreamFaults) => void;
  /** Number of requests with each idempotency key. */
  readonly runsByKey: () => ReadonlyMap<string, number>;
  readonly close: () => Promise<void>;
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks = await request.toArray();
  return Buffer.concat(chunks as Buffer[]).toString('utf8');
}

function computeAnswer(text: string): { readonly status: number; readonly body: string } {
  try {
    const parsed = springSchema.safeParse(JSON.parse(text));
    return parsed.success
      ? { status: 200, body: JSON.stringify(calculateSpring(parsed.data)) }
      : { status: 422, body: JSON.stringify({ problem: z.prettifyError(parsed.error) }) };
  } catch {
    return { status: 400, body: JSON.stringify({ problem: 'not JSON' }) };
  }
}

/** Starts a stand-in of the quoter: it computes the rate and the load of a spring. */
export async function startUpstream(host: string, port: number): Promise<StandinUpstream> {
  let faults = NO_UPSTREAM_FAULTS;
  const runs = new Map<string, number>();

  const respond = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const text = await readText(request);
    const key = request.headers['idempotency-key'];
    if (typeof key === 'string') runs.set(key, (runs.get(key) ?? 0) + 1);
    if (faults.isSilent) return;
    const { status, body } = computeAnswer(text);
    const send = (): void => {
      response.writeHead(status, {
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(body),
      });
      if (faults.cutsAnswers) {
        response.write(body.slice(0, body.length / 2), () => response.destroy());
      } else {
        response.end(body);
      }
    };
    if (faults.delayMs > 0) setTimeout(send, faults.delayMs);
    else send();
  };

  const onFailure = (response: ServerResponse): void => {
    response.destroy();
  };
  const server = await listen({ respond, onFailure }, host, port);
  return {
    port: server.port,
    setFaults: (next) => {
      faults = next;
    },
    runsByKey: () => runs,
    close: server.close,
  };
}
