import { expect } from 'chai';
import type { StoredRow } from '@bronzeyoke/ports';
import { WITHDRAWAL_KEEP_MS, withdrawalKey } from '@bronzeyoke/scheduler';
import type { Fixture } from './fixture';
import { advance, createLeader, dispatch, WALL_MS } from './fixture';

const READ = 'withdrawals';
const REMOVE = 'withdrawals-remove';

function rowOf(jobId: string, version = 20): StoredRow {
  return { ...withdrawalKey(jobId), version, value: {} };
}

/** Waits for the next read of the withdrawals and answers it. */
function read(fixture: Fixture, rows: readonly StoredRow[], afterMs = 10_000): Fixture {
  const ticked = advance(fixture, afterMs);
  const result = { kind: 'rows', rows, version: 30 } as const;
  const wallMs = WALL_MS + ticked.nowMs;
  return dispatch(ticked, { kind: 'rangeDone', callId: READ, result, wallMs });
}

function removals(fixture: Fixture) {
  return fixture.effects.flatMap((effect) =>
    effect.kind === 'commit' && effect.callId === REMOVE ? [effect.transaction] : [],
  );
}

/** Reads the same rows until they are old enough. */
function readUntilOld(rows: readonly StoredRow[]): Fixture {
  const reads = Array.from({ length: WITHDRAWAL_KEEP_MS / 10_000 });
  return reads.reduce<Fixture>((current) => read(current, rows), read(createLeader(), rows));
}

// Guards against rows of cancelled ids that stay for good.
it('withdrawals: a row is removed once it was kept long enough, and not before', () => {
  const young = read(read(createLeader(), [rowOf('job1')]), [rowOf('job1')]);
  expect(removals(young)).to.deep.equal([]);
  expect(removals(readUntilOld([rowOf('job1')]))).to.deep.equal([
    {
      conditions: [{ ...withdrawalKey('job1'), version: 20 }],
      writes: [{ kind: 'delete', ...withdrawalKey('job1') }],
    },
  ]);
});

// Guards against the removal of a row that a second cancellation has just written again.
it('withdrawals: a row that was written again is kept anew', () => {
  const old = readUntilOld([rowOf('job1')]);
  const kept = read(old, [rowOf('job1', 25)], 20_000);
  expect(removals(kept)).to.deep.equal(removals(old));
});

// Guards against rows that pile up when more are written than one removal a read can take.
it('withdrawals: a removal that leaves old rows is followed by the next read at once', () => {
  const rows = Array.from({ length: 80 }, (_, index) => rowOf(`job${index}`));
  const first = readUntilOld(rows);
  expect(removals(first)[0]?.writes).to.have.length(50);
  const result = { kind: 'committed', version: 40 } as const;
  const wallMs = WALL_MS + first.nowMs;
  const settled = dispatch(first, { kind: 'commitDone', callId: REMOVE, result, wallMs });
  const second = read(settled, rows.slice(50), 50);
  expect(removals(second)).to.have.length(2);
  expect(removals(second)[1]?.writes).to.have.length(30);
});

// Guards against reads that end for good with one call without a result.
it('withdrawals: a call without a result is followed by the next read', () => {
  const silent = advance(advance(createLeader(), 20_000), 20_000);
  const reads = silent.effects.filter(
    (effect) => effect.kind === 'range' && effect.callId === READ,
  );
  expect(reads).to.have.length.greaterThan(0);
});

// Guards against a flood of refusals after which only the rows of the first page are ever removed.
it('withdrawals: rows beyond the first page age and are removed as well', () => {
  const pages = { '': ['a'], m: ['n'] } as const;
  const readNext = (fixture: Fixture, forMs: number): Fixture => {
    const ticked = advance(fixture, forMs);
    const { fromKey } = ticked.state.withdrawals;
    const isFirst = fromKey === undefined;
    const rows = pages[isFirst ? '' : 'm'].map((jobId) => rowOf(jobId));
    const rest = isFirst ? { nextKey: 'm' } : {};
    const result = { kind: 'rows', rows, version: 30, ...rest } as const;
    const wallMs = WALL_MS + ticked.nowMs;
    const done = dispatch(ticked, { kind: 'rangeDone', callId: READ, result, wallMs });
    const removed = { kind: 'committed', version: 40 } as const;
    return dispatch(done, { kind: 'commitDone', callId: REMOVE, result: removed, wallMs });
  };
  const old = Array.from({ length: 7 }).reduce<Fixture>(
    (current) => readNext(readNext(current, 10_000), 50),
    createLeader(),
  );
  const keys = removals(old).flatMap(({ writes }) => writes.map(({ key }) => key));
  expect(keys).to.deep.equal(['a', 'n']);
  expect([...old.state.withdrawals.seen.keys()]).to.have.members(['a', 'n']);
});
