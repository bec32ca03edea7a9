import { expect } from 'chai';
import fc from 'fast-check';
import type { PartOutcome } from '@bronzeyoke/commits';
import {
  addPart,
  createGroup,
  flushGroup,
  isGroupIdle,
  applyCommitResult,
} from '@bronzeyoke/commits';
import type { AccessFault } from '@bronzeyoke/standins';
import { EMPTY_TABLE, accessRows, commitRows, readRows } from '@bronzeyoke/standins';

const parts = fc.uniqueArray(
  fc.record({ row: fc.nat(60), shard: fc.nat(2), stale: fc.boolean(), isSolo: fc.boolean() }),
  { maxLength: 60, selector: (part) => part.row },
);
const faults = fc.array(fc.constantFrom<AccessFault>('none', 'down', 'lost', 'lost'), {
  maxLength: 12,
});

// Guards against a part that is reported as committed without its row, or the reverse: its task would
// be started twice or never.
it('group: a part is reported as committed if and only if its row was written, despite lost replies', () => {
  fc.assert(
    fc.property(parts, faults, (partList, faultList) => {
      const initial = commitRows(EMPTY_TABLE, {
        conditions: [],
        writes: [0, 1, 2].map((shard) => ({ kind: 'put', key: `shard/${shard}`, value: shard })),
      });
      const version = initial.state.lastVersion;
      let table = initial.state;
      let group = partList.reduce(
        (filled, { row, shard, stale, isSolo }) =>
          addPart(filled, {
            partId: `${row}`,
            conditions: [
              { key: `shard/${shard}`, version: stale ? version + 7 : version },
              { key: `task/${row}`, version: 0 },
            ],
            writes: [{ kind: 'put', key: `task/${row}`, value: { token: row } }],
            ...(isSolo ? { isSolo: true as const } : {}),
          }),
        createGroup('batch'),
      );
      let outcomes: readonly PartOutcome[] = [];
      let calls = 0;
      const tick = (nowMs: number): void => {
        const sent = flushGroup(group, nowMs);
        group = sent.state;
        sent.effects.forEach((effect) => {
          const access = accessRows(table, effect, faultList[calls] ?? 'none');
          calls += 1;
          table = access.state;
          if (access.event.kind !== 'commitDone') return;
          const done = applyCommitResult(group, effect.callId, access.event.result, nowMs);
          group = done.state;
          outcomes = [...outcomes, ...done.outcomes];
        });
      };
      for (let nowMs = 0; nowMs < 60_000 && !isGroupIdle(group); nowMs += 50) tick(nowMs);
      expect(isGroupIdle(group)).to.equal(true);
      expect(outcomes.length).to.equal(partList.length);
      outcomes.forEach((outcome) => {
        const written = readRows(table, [`task/${outcome.part.partId}`]).length === 1;
        expect(written).to.equal(outcome.kind === 'committed');
        const isStale = partList.some(
          (part) => `${part.row}` === outcome.part.partId && part.stale,
        );
        if (outcome.kind === 'conflict') expect(isStale).to.equal(true);
      });
    }),
    { seed: 31, numRuns: 300 },
  );
});
