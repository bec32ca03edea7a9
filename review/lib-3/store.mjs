// Stand-in of the platform's metadata store: rows, transactions and feeds as PROTOCOL.md tells them.
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const MAX_ENTRIES = 100;
const MAX_TX_BYTES = 1_048_576;
const MAX_PAGE_ROWS = 500;
const MAX_PAGE_BYTES = 1_000_000;
const TX_MS = 6;
const READ_MS = 4;

/** Reads the JSON body of a request. */
export async function readJson(incoming) {
  const chunks = [];
  incoming.on('data', (chunk) => chunks.push(chunk));
  await new Promise((resolve, reject) => {
    incoming.once('end', resolve);
    incoming.once('error', reject);
  });
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/** Starts a server on an address and resolves when it listens. */
export function listenOn(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });
}

const idOf = ({ table, part = '', key }) => `${table}\u0001${part}\u0001${key}`;

/** Starts the store. `fault` may be set to a function that is asked before each call. */
export async function startStore(host, rowBytes = 65_536) {
  const rows = new Map();
  const history = [];
  const startedMs = performance.now();
  const store = { ver: 1, fault: undefined, refused: [], waiters: new Set() };
  let queue = Promise.resolve();

  const nowMs = () => Math.round(performance.now() - startedMs);
  const change = (row) => {
    history.push(row);
    if (row.deleted) rows.delete(idOf(row));
    else rows.set(idOf(row), row);
  };

  const transact = ({ expectedRev = [], writes = [], remove = [] }) => {
    const size = JSON.stringify({ expectedRev, writes, remove }).length;
    const entries = expectedRev.length + writes.length + remove.length;
    const tooLong = writes.find(({ value = '' }) => value.length > rowBytes);
    if (tooLong !== undefined || size > MAX_TX_BYTES || entries > MAX_ENTRIES) {
      store.refused.push({
        atMs: nowMs(),
        table: tooLong?.table,
        key: tooLong?.key,
        bytes: tooLong?.value.length,
        size,
        entries,
      });
      return { status: 400, body: {} };
    }
    const current = expectedRev.map((row) => rows.get(idOf(row)));
    const isMet = expectedRev.every((row, index) => (current[index]?.ver ?? 0) === row.ver);
    if (!isMet) {
      return {
        status: 412,
        body: { rows: current.filter((row) => row !== undefined), ver: store.ver, nowMs: nowMs() },
      };
    }
    store.ver += 1;
    const { ver } = store;
    writes.forEach(({ table, part = '', key, value }) => change({ table, part, key, value, ver }));
    remove.forEach(({ table, part = '', key }) => change({ table, part, key, ver, deleted: true }));
    [...store.waiters].forEach((wake) => wake());
    return { status: 200, body: { ver, nowMs: nowMs() } };
  };

  const get = (query) => {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const target = query.get('target');
    const limit = Math.min(MAX_PAGE_ROWS, Number(query.get('limit') ?? MAX_PAGE_ROWS));
    const all = [...rows.values()]
      .filter(
        (row) =>
          row.table === table &&
          row.part === part &&
          row.key >= from &&
          (target === null || row.key < target),
      )
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const page = [];
    let bytes = 0;
    all.slice(0, limit).every((row) => {
      bytes += JSON.stringify(row).length;
      if (page.length > 0 && bytes > MAX_PAGE_BYTES) return false;
      page.push(row);
      return true;
    });
    return {
      status: 200,
      body: { rows: page, hasMore: page.length < all.length, ver: store.ver, nowMs: nowMs() },
    };
  };

  const feed = async (query) => {
    const table = query.get('table');
    const after = Number(query.get('dependsOn') ?? 0);
    const untilMs = performance.now() + Math.min(30_000, Number(query.get('waitMs') ?? 0));
    const changed = () => history.filter((row) => row.table === table && row.ver > after);
    while (changed().length === 0 && performance.now() < untilMs) {
      const leftMs = untilMs - performance.now();
      // eslint-disable-next-line no-await-in-loop -- a long poll waits for one change after the other
      await new Promise((resolve) => {
        const timer = { id: undefined };
        const wake = () => {
          clearTimeout(timer.id);
          store.waiters.delete(wake);
          resolve();
        };
        timer.id = setTimeout(wake, leftMs);
        store.waiters.add(wake);
      });
    }
    return { status: 200, body: { rows: changed(), ver: store.ver, nowMs: nowMs() } };
  };

  const answer = async (path, query, body) => {
    switch (path) {
      case '/bronzeyoke/rows-tx': {
        const turn = queue.then(() => sleep(TX_MS));
        queue = turn;
        await turn;
        return transact(body);
      }
      case '/bronzeyoke/rows-get':
        await sleep(READ_MS);
        return get(query);
      case '/bronzeyoke/rows-feed':
        await sleep(READ_MS);
        return feed(query);
      default:
        return { status: 404, body: {} };
    }
  };

  const server = createServer((incoming, response) => {
    const serve = async () => {
      const url = new URL(incoming.url, 'http://store');
      const body = await readJson(incoming);
      const call = { path: url.pathname, query: url.searchParams, body, from: incoming.socket };
      const fault = store.fault?.(call);
      if (fault === 'silent') return;
      if (fault === 'busy') {
        response.writeHead(503).end('{}');
        return;
      }
      const result = await answer(call.path, call.query, body);
      if (fault === 'lost') {
        response.destroy();
        return;
      }
      response.writeHead(result.status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(result.body));
    };
    serve().catch(() => response.destroy());
  });
  const port = await listenOn(server, host, 0);
  return Object.assign(store, {
    address: `${host}:${port}`,
    nowMs,
    rows,
    /** Writes a row as the operator does. */
    put: (table, key, value) =>
      transact({
        writes: [{ table, key, value: Buffer.from(JSON.stringify(value)).toString('base64') }],
      }),
    remove: (table, key) => transact({ remove: [{ table, key }] }),
    read: (table, key, part = '') => {
      const row = rows.get(idOf({ table, part, key }));
      return row === undefined
        ? undefined
        : JSON.parse(Buffer.from(row.value, 'base64').toString('utf8'));
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  });
}
