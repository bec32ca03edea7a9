import { createHash, timingSafeEqual } from 'node:crypto';
import type { AdminCommand, BucketLimit, Result } from '@bronzeyoke/types';
import { assertNever, fail, succeed } from '@bronzeyoke/types';

/** Sender of a request, identified by its bearer token. */
export type Principal =
  | { readonly role: 'caller'; readonly name: string; readonly limit: BucketLimit }
  | {
      readonly role: 'team';
      readonly name: string;
      readonly team: string;
      readonly limit: BucketLimit;
    }
  | { readonly role: 'operator'; readonly name: string; readonly limit: BucketLimit };

/** Bearer token in the settings, which hold its hash only. */
export interface TokenEntry {
  readonly name: string;
  readonly sha256: string;
  readonly role: Principal['role'];
  readonly team?: string | undefined;
  readonly ratePerSecond: number;
  readonly burst: number;
}

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/i;

function principalOf(token: TokenEntry): Principal {
  const { name, role, team = '', ratePerSecond, burst } = token;
  const limit = { ratePerSecond, burst };
  switch (role) {
    case 'caller':
    case 'operator':
      return { role, name, limit };
    case 'team':
      return { role, name, team, limit };
    default:
      return assertNever(role);
  }
}

/** Creates a function that returns the principal for an Authorization header. */
export function createAuthenticator(
  tokens: readonly TokenEntry[],
): (authorization: string | undefined) => Result<Principal> {
  const candidates = tokens.map((token) => ({
    hash: Buffer.from(token.sha256, 'hex'),
    principal: principalOf(token),
  }));
  return (authorization) => {
    const token = BEARER.exec(authorization ?? '')?.[1];
    if (token === undefined) return fail({ kind: 'unauthorized' });
    const hash = createHash('sha256').update(token).digest();
    // Compares all tokens, so that the response time does not reveal a near match.
    const matching = candidates.filter((entry) => timingSafeEqual(entry.hash, hash));
    const [match] = matching;
    return match === undefined ? fail({ kind: 'unauthorized' }) : succeed(match.principal);
  };
}

/** Checks whether a principal may give a command. A team has access to its own jobs only. */
export function authorize(principal: Principal, command: AdminCommand): Result<AdminCommand> {
  const forbidden = fail({ kind: 'forbidden', role: principal.role } as const);
  if (principal.role === 'operator') return succeed(command);
  switch (command.kind) {
    case 'applyTicket':
    case 'listTickets':
    case 'showTicket':
    case 'whereTicket':
    case 'showConfiguration':
    case 'listUpstreams':
    case 'listWorkers':
      return forbidden;
    case 'submitJob':
      return principal.role === 'team' && principal.team === command.submission.team
        ? succeed(command)
        : forbidden;
    case 'showJob':
    case 'cancelJob':
    case 'listJobs':
      return principal.role === 'team' && principal.team === command.team
        ? succeed(command)
        : forbidden;
    default:
      return assertNever(command);
  }
}
