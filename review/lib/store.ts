import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import type { StandinRequest, StandinResponse } from './http';
import { serveStandin } from './http';

interface WireKey {
  readonly table: string;
  readonly part?: string;
  readonly key: string;
}

interface WireRow extends WireKey {
  readonly value?: string;
  readonly ver: number;
  readonly deleted?: true;
}

/** Stand-in of the platform's metadata store. */
export interface Store {
  readonly address: string;
  /** Writes a row of the operator, or removes it if the value is undefined. */
  readonly put: (table: string, key: string, value: unknown) => void;
  /** Reads a row's value. */
  readonly read: (table: string, part: string, key: string) => unknown;
  /** Leaves the next transaction that writes a key with this text unanswered, and performs it later. */
  readonly loseNext: (keyText: string, lateMs: number) => void;
  /** Answers all calls with 503 while true. */
  readonly setDown: (isDown: boolean) => void;
  readonly close: () => void;
}

const TRANSACTION_MS = 6;
const READ_MS = 4;
const MAX_ROWS = 500;
const MAX_FEED_WAIT_MS = 30_000;
const FEED_CHECK_MS = 5;

const nameOf = ({ table, part = '', key }: WireKey): string => `${table}\n${part}\n${key}`;

/** Starts the store. It keeps its whole history and is linearizable. */
export async function startStore(host: string): Promise<Store> {
  const rows = new Map<string, WireRow>();
  const changes: WireRow[] = [];
  const queues = new Map<string, Promise<void>>();
  const state = { version: 0, isDown: false, isClosed: false };
  const loss: { next?: { readonly keyText: string; readonly lateMs: number } | undefined } = {};

  const write = (row: WireKey & { readonly value?: string }): void => {
    const { table, part = '', key, value } = row;
    const ver = state.version;
    if (value === undefined) {
      rows.delete(nameOf(row));
      changes.push({ table, part, key, ver, deleted: true });
      return;
    }
    const stored = { table, part, key, ver, value };
    rows.set(nameOf(row), stored);
    changes.push(stored);
  };

  const transact = (body: StandinRequest['body']): StandinResponse => {
    const {
      expectedRev = [],
      writes = [],
      remove = [],
    } = body as {
      readonly expectedRev?: readonly WireRow[];
      readonly writes?: readonly (WireKey & { readonly value: string })[];
      readonly remove?: readonly WireKey[];
    };
    const isMet = expectedRev.every((row) => (rows.get(nameOf(row))?.ver ?? 0) === row.ver);
    if (!isMet) {
      return {
        status: 412,
        body: { rows: expectedRev.flatMap((row) => rows.get(nameOf(row)) ?? []) },
      };
    }
    state.version += 1;
    writes.forEach(write);
    remove.forEach(({ table, part = '', key }) => {
      if (rows.has(nameOf({ table, part, key }))) write({ table, part, key });
    });
    return { status: 200, body: { ver: state.version, nowMs: Math.round(performance.now()) } };
  };

  /** Returns a lost transaction's delay, and forgets it: it is lost once. */
  const takeLoss = ({ writes = [] }: StandinRequest['body']): number | undefined => {
    const { next } = loss;
    const isMeant = (writes as WireKey[]).some(({ key }) => key.includes(next?.keyText ?? '\n'));
    if (next === undefined || !isMeant) return undefined;
    loss.next = undefined;
    return next.lateMs;
  };

  const partOf = ({ expectedRev = [], writes = [] }: StandinRequest['body']): string => {
    const [first] = [...(expectedRev as WireKey[]), ...(writes as WireKey[])];
    return first?.part ?? '';
  };

  /** Transactions of one part follow one another. */
  const queueTransaction = async (body: StandinRequest['body']): Promise<StandinResponse> => {
    const part = partOf(body);
    const before = queues.get(part) ?? Promise.resolve();
    const own = before.then(() => sleep(TRANSACTION_MS));
    queues.set(part, own);
    await own;
    return state.isDown ? { status: 503 } : transact(body);
  };

  const readRange = (query: URLSearchParams): StandinResponse => {
    const [table, part] = [query.get('table') ?? '', query.get('part') ?? ''];
    const [from, until] = [query.get('from') ?? '', query.get('target')];
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const found = [...rows.values()]
      .filter((row) => row.table === table && (row.part ?? '') === part)
      .filter(({ key }) => key >= from && (until === null || key < until))
      .toSorted((left, right) => (left.key < right.key ? -1 : 1));
    return {
      status: 200,
      body: {
        rows: found.slice(0, limit),
        hasMore: found.length > limit,
        ver: state.version,
        nowMs: Math.round(performance.now()),
      },
    };
  };

  const readFeed = async (query: URLSearchParams): Promise<StandinResponse> => {
    const table = query.get('table') ?? '';
    const after = Number(query.get('dependsOn') ?? 0);
    const waitMs = Math.min(MAX_FEED_WAIT_MS, Number(query.get('waitMs') ?? 0));
    const endMs = performance.now() + waitMs;
    const find = (): readonly WireRow[] =>
      changes.filter((row) => row.table === table && row.ver > after);
    const wait = async (): Promise<readonly WireRow[]> => {
      const found = find();
      if (found.length > 0 || performance.now() >= endMs || state.isClosed) return found;
      await sleep(FEED_CHECK_MS);
      return wait();
    };
    const found = await wait();
    return {
      status: 200,
      body: { rows: found, ver: state.version, nowMs: Math.round(performance.now()) },
    };
  };

  const handle = async ({ path, query, body }: StandinRequest): Promise<StandinResponse> => {
    if (state.isDown) return { status: 503 };
    switch (path) {
      case '/bronzeyoke/rows-tx': {
        const lateMs = takeLoss(body);
        if (lateMs === undefined) return queueTransaction(body);
        await sleep(lateMs);
        await queueTransaction(body);
        return undefined;
      }
      case '/bronzeyoke/rows-get':
        await sleep(READ_MS);
        return readRange(query);
      case '/bronzeyoke/rows-feed':
        return readFeed(query);
      default:
        return { status: 404 };
    }
  };
  const { server, address } = await serveStandin(host, 0, handle);
  return {
    address,
    put: (table, key, value) => {
      state.version += 1;
      write({
        table,
        part: '',
        key,
        ...(value === undefined
          ? {}
          : { value: Buffer.from(JSON.stringify(value)).toString('base64') }),
      });
    },
    read: (table, part, key) => {
      const value = rows.get(nameOf({ table, part, key }))?.value;
      return value === undefined
        ? undefined
        : JSON.parse(Buffer.from(value, 'base64').toString('utf8'));
    },
    loseNext: (keyText, lateMs) => {
      loss.next = { keyText, lateMs };
    },
    setDown: (isDown) => {
      state.isDown = isDown;
    },
    close: () => {
      state.isClosed = true;
      server.close();
      server.closeAllConnections();
    },
  };
}
