/** Stand-in of the platform's metadata store: rows, ranges and feeds, as the users' PROTOCOL.md says. */

/* eslint-disable class-methods-use-this -- fields that hold functions */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { readJson, sendJson, startHttp } from './http';

interface WireRow {
  readonly table: string;
  readonly part: string;
  readonly key: string;
  readonly value: string;
  readonly ver: number;
  readonly deleted?: boolean;
}

type RowName = Pick<WireRow, 'table' | 'part' | 'key'>;

interface TransactionBody {
  readonly expectedRev?: readonly (RowName & { readonly ver: number })[];
  readonly writes?: readonly (RowName & { readonly value: string })[];
  readonly remove?: readonly RowName[];
}

/** Bytes of a value in Base64, and rows of an answer, that the pages allow. */
const MAX_ROW_BYTES = 65_536;
const MAX_ROWS = 500;
const MAX_ENTRIES = 100;
const TRANSACTION_MS = 6;
const READ_MS = 4;
const WRITER_WINDOW_MS = 2_000;

/** A refused or repeated transaction, for the record. */
export interface StoreEvent {
  readonly kind: 'refused';
  readonly reason: string;
}

/** What happens to a transaction: done without an answer, done later without one, or refused. */
export type StoreFault =
  | { readonly kind: 'lost' }
  | { readonly kind: 'late'; readonly afterMs: number }
  | { readonly kind: 'busy' };

/** Store of one run. */
export class Store {
  private readonly rows = new Map<string, WireRow>();

  private history: WireRow[] = [];

  private ver = 0;

  private waiters: (() => void)[] = [];

  /** Times of conditional transactions that were performed, by the address of the caller. */
  private readonly conditional: { readonly host: string; readonly atMs: number }[] = [];

  /** Picks the fault of a transaction, if it has one. */
  faultOf: () => StoreFault | undefined = () => undefined;

  readonly onEvent: (event: StoreEvent) => void;

  constructor(onEvent: (event: StoreEvent) => void = () => undefined) {
    this.onEvent = onEvent;
  }

  /** Starts to listen; resolves with a function that closes the server. */
  listen(host: string, port: number): Promise<() => void> {
    return startHttp(host, port, (request, response) => this.serve(request, response));
  }

  /** Writes a row as the operator does. */
  put(table: string, key: string, value: unknown): void {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply([{ table, part: '', key, value: encoded }], []);
  }

  /** Removes a row as the operator does. */
  remove(table: string, key: string): void {
    this.apply([], [{ table, part: '', key }]);
  }

  /** Returns the decoded rows of a table. */
  table(name: string): readonly { readonly key: string; readonly value: unknown }[] {
    return [...this.rows.values()]
      .filter(({ table }) => table === name)
      .map(({ key, value }) => ({
        key,
        value: JSON.parse(Buffer.from(value, 'base64').toString('utf8')) as unknown,
      }));
  }

  /** Returns the address that has written most often under a condition in the last seconds. */
  busiestWriter(): string | undefined {
    const sinceMs = performance.now() - WRITER_WINDOW_MS;
    const counts = new Map<string, number>();
    this.conditional
      .filter(({ atMs }) => atMs >= sinceMs)
      .forEach(({ host }) => counts.set(host, (counts.get(host) ?? 0) + 1));
    return [...counts].sort(([, left], [, right]) => right - left).at(0)?.[0];
  }

  private static id({ table, part, key }: RowName): string {
    return `${table}\u0001${part}\u0001${key}`;
  }

  private apply(
    writes: readonly (RowName & { readonly value: string })[],
    removed: readonly RowName[],
  ): void {
    this.ver += 1;
    const { ver } = this;
    writes.forEach(({ table, part, key, value }) => {
      const row = { table, part, key, value, ver };
      this.rows.set(Store.id(row), row);
      this.history.push(row);
    });
    removed.forEach(({ table, part, key }) => {
      const row = { table, part, key, value: '', ver, deleted: true };
      if (this.rows.delete(Store.id(row))) this.history.push(row);
    });
    const { waiters } = this;
    this.waiters = [];
    waiters.forEach((wake) => wake());
  }

  private transact(body: TransactionBody): readonly [status: number, answer: unknown] {
    const { expectedRev = [], writes = [], remove = [] } = body;
    const tooLarge = writes.find(({ value }) => value.length > MAX_ROW_BYTES);
    if (expectedRev.length + writes.length + remove.length > MAX_ENTRIES || tooLarge) {
      const reason = tooLarge ? `row ${tooLarge.table}/${tooLarge.key}` : 'entries';
      this.onEvent({ kind: 'refused', reason });
      return [400, { error: reason }];
    }
    const isMet = expectedRev.every((row) => (this.rows.get(Store.id(row))?.ver ?? 0) === row.ver);
    if (!isMet) {
      const rows = expectedRev.flatMap((row) => this.rows.get(Store.id(row)) ?? []);
      return [412, { rows, ver: this.ver, nowMs: Math.round(performance.now()) }];
    }
    this.apply(writes, remove);
    return [200, { ver: this.ver, nowMs: Math.round(performance.now()) }];
  }

  private range(query: URLSearchParams): unknown {
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(MAX_ROWS, Number(query.get('limit') ?? MAX_ROWS));
    const found = [...this.rows.values()]
      .filter(
        ({ table, part, key }) =>
          table === query.get('table') &&
          part === (query.get('part') ?? '') &&
          key >= from &&
          (target === null || key < target),
      )
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    return {
      rows: found.slice(0, limit),
      hasMore: found.length > limit,
      ver: this.ver,
      nowMs: Math.round(performance.now()),
    };
  }

  private async feed(query: URLSearchParams): Promise<unknown> {
    const after = Number(query.get('dependsOn') ?? 0);
    const endMs = performance.now() + Number(query.get('waitMs') ?? 0);
    const changed = () =>
      this.history.filter(({ table, ver }) => table === query.get('table') && ver > after);
    while (changed().length === 0 && performance.now() < endMs) {
      // eslint-disable-next-line no-await-in-loop -- waits for the next transaction
      await Promise.race([
        new Promise<void>((resolve) => {
          this.waiters.push(resolve);
        }),
        sleep(endMs - performance.now()),
      ]);
    }
    return { rows: changed(), ver: this.ver, nowMs: Math.round(performance.now()) };
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readJson(request);
    const url = new URL(request.url ?? '/', 'http://store');
    switch (url.pathname) {
      case '/bronzeyoke/rows-tx': {
        await sleep(TRANSACTION_MS);
        const transaction = body as TransactionBody;
        const fault = this.faultOf();
        if (fault?.kind === 'busy') {
          sendJson(response, 503, {});
          return;
        }
        if (fault !== undefined) {
          response.destroy();
          if (fault.kind === 'late') await sleep(fault.afterMs);
          this.transact(transaction);
          return;
        }
        const [status, answer] = this.transact(transaction);
        const host = request.socket.remoteAddress ?? '';
        if (status === 200 && (transaction.expectedRev ?? []).length > 0) {
          this.conditional.push({ host, atMs: performance.now() });
        }
        sendJson(response, status, answer);
        return;
      }
      case '/bronzeyoke/rows-get':
        await sleep(READ_MS);
        sendJson(response, 200, this.range(url.searchParams));
        return;
      case '/bronzeyoke/rows-feed':
        sendJson(response, 200, await this.feed(url.searchParams));
        return;
      default:
        sendJson(response, 404, {});
    }
  }
}
