import { expect } from 'chai';
import * as fc from 'fast-check';
import { Map } from 'immutable';
import { without } from '@bronzeyoke/types';
import { updateLoads } from '../src/fleet/loads';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  leave,
  list,
  listedRun,
  report,
  sized,
  submit,
} from './fixture';

const SITES = ['w1', 'w2', 'w3'] as const;

type Change =
  | { readonly kind: 'submit'; readonly cores: number; readonly isFill: boolean }
  | { readonly kind: 'end'; readonly site: string }
  | { readonly kind: 'load'; readonly site: string; readonly load: number }
  | { readonly kind: 'leave'; readonly site: string }
  | { readonly kind: 'join'; readonly site: string };

const site = fc.constantFrom(...SITES);

const change: fc.Arbitrary<Change> = fc.oneof(
  fc.record({
    kind: fc.constant('submit' as const),
    cores: fc.integer({ min: 1, max: 3 }),
    isFill: fc.boolean(),
  }),
  fc.record({ kind: fc.constant('end' as const), site }),
  fc.record({ kind: fc.constant('load' as const), site, load: fc.nat(4_000) }),
  fc.record({ kind: fc.constant('leave' as const), site }),
  fc.record({ kind: fc.constant('join' as const), site }),
);

function runsAt(fixture: Fixture, at: string): readonly string[] {
  const runs = fixture.state.runs.byTask.filter(({ workerKey }) => workerKey === `${at}@5`);
  return [...runs.keys()];
}

function apply(fixture: Fixture, step: Change, index: number): Fixture {
  switch (step.kind) {
    case 'submit': {
      const { cores, isFill } = step;
      const image = isFill ? { image: 'fill' } : {};
      const stage = sized(cores * 1_000, 2, { fillsIdle: isFill, ...image });
      return commitAll(submit(fixture, jobOf(`job${index}`, [stage])));
    }
    case 'end': {
      const [task] = runsAt(fixture, step.site);
      return task === undefined ? fixture : list(fixture, step.site, { [task]: 'done' });
    }
    case 'load': {
      const running = runsAt(fixture, step.site).map((task) =>
        listedRun(task, fixture.state.runs.byTask.get(task)?.attempt ?? 1, { load: step.load }),
      );
      const lastOrder = fixture.state.links.get(`link-${step.site}`)?.lastOrder ?? 0;
      return commitAll(report(fixture, step.site, { running, lastOrder }));
    }
    case 'leave':
      return leave(fixture, step.site);
    case 'join':
      return commitAll(report(fixture, step.site));
  }
}

/** Returns the loads of a state, once from what it remembers and once computed anew. */
function loadsOf({ state, nowMs }: Fixture) {
  const remembered = updateLoads(state, state.passCount + 1, nowMs);
  const anew = updateLoads({ ...state, loads: Map() }, state.passCount + 1, nowMs);
  const plain = (loads: typeof anew) => loads.map(({ load }) => load).toObject();
  return { remembered: plain(remembered), anew: plain(anew) };
}

// Guards against loads that are out of date, on which tasks would be placed without room.
it('loads: remembered loads are those computed anew', () => {
  fc.assert(
    fc.property(fc.array(change, { minLength: 1, maxLength: 25 }), (steps) => {
      steps.reduce(
        (current, step, index) => {
          const next = advance(apply(current, step, index), 10);
          const { remembered, anew } = loadsOf(next);
          expect(remembered).to.deep.equal(anew);
          return next;
        },
        SITES.reduce((current, at) => commitAll(report(current, at)), createLeader()),
      );
    }),
    { seed: 3, numRuns: 60 },
  );
});

// Guards against claims on a worker that is gone while another one has not reported yet.
it('loads: a worker that is gone has no load beside one that has not reported', () => {
  const { state, nowMs } = ['w1', 'w2'].reduce(
    (fixture, at) => report(fixture, at),
    createLeader(),
  );
  const loads = updateLoads(state, 1, nowMs);
  const view = state.workers.get('w1@5');
  if (view === undefined) throw new Error('w1 has not reported');
  const unreported = { ...without(view, 'report'), workerKey: 'w3@5' };
  const workers = state.workers.delete('w1@5').set('w3@5', unreported);
  const later = updateLoads({ ...state, loads, workers }, 2, nowMs);
  expect([...later.keys()]).to.deep.equal(['w2@5']);
});
