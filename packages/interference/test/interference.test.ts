import { expect } from 'chai';
import type {
  InterferenceEffect,
  InterferenceEvent,
  InterferenceState,
  Neighbour,
} from '@bronzeyoke/interference';
import {
  WINDOW_MS,
  createInterference,
  penalty,
  stepInterference,
  takeChangedSlowDowns,
} from '@bronzeyoke/interference';
import type { UsageSample, WorkerReply } from '@bronzeyoke/ports';
import { taskKey, drawUniforms } from '@bronzeyoke/types';

const LAG_MS = 1_000;
const BASE_MS = 10;

interface Fixture {
  readonly nowMs: number;
  readonly state: InterferenceState;
  readonly neighbours: readonly Neighbour[];
  readonly shares: ReadonlyMap<string, number>;
  readonly usage: readonly { readonly atMs: number; readonly samples: readonly UsageSample[] }[];
  readonly steps: readonly {
    readonly atMs: number;
    readonly workKind: string;
    readonly share: number;
  }[];
  readonly evicted: readonly { readonly atMs: number; readonly key: string }[];
  readonly answers: boolean;
}

/** Actual slow-down of the service beyond 1, by kind that runs with its full share. */
type Harm = Readonly<Record<string, number>>;

function neighbour(jobId: string, workKind: string): Neighbour {
  return { id: { jobId, index: 0 }, workKind, role: 'batch', processorsMilli: 1_000 };
}

function createFixture(neighbours: readonly Neighbour[] = []): Fixture {
  return {
    nowMs: 0,
    state: createInterference('quoter'),
    neighbours,
    shares: new Map(),
    usage: [],
    steps: [],
    evicted: [],
    answers: true,
  };
}

interface Performed {
  readonly fixture: Fixture;
  readonly events: readonly InterferenceEvent[];
}

function perform({ fixture, events }: Performed, effect: InterferenceEffect): Performed {
  const { nowMs } = fixture;
  if (effect.kind === 'evict') {
    const key = taskKey(effect.id);
    const evicted = [...fixture.evicted, { atMs: nowMs, key }];
    const neighbours = fixture.neighbours.filter(({ id }) => taskKey(id) !== key);
    return { fixture: { ...fixture, evicted, neighbours }, events };
  }
  const { command, callId } = effect;
  const done = (reply: WorkerReply): readonly InterferenceEvent[] =>
    fixture.answers ? [...events, { kind: 'workerDone', callId, reply }] : events;
  if (command.kind === 'throttle') {
    const key = taskKey(command.id);
    const workKind = fixture.neighbours.find(({ id }) => taskKey(id) === key)?.workKind ?? '';
    const { share } = command;
    const shares = new Map([...fixture.shares, [key, share]]);
    const steps = [...fixture.steps, { atMs: nowMs, workKind, share }];
    const result = { kind: 'done', value: undefined } as const;
    return { fixture: { ...fixture, shares, steps }, events: done({ kind: 'throttle', result }) };
  }
  const value = fixture.usage.findLast(({ atMs }) => atMs <= nowMs - LAG_MS)?.samples ?? [];
  return { fixture, events: done({ kind: 'usage', result: { kind: 'done', value } }) };
}

function run({ fixture, events }: Performed): Fixture {
  const [event, ...rest] = events;
  if (event === undefined) return fixture;
  const step = stepInterference(fixture.state, event, { nowMs: fixture.nowMs, random: 0.5 });
  const stepped = { fixture: { ...fixture, state: step.state }, events: rest };
  return run(step.effects.reduce(perform, stepped));
}

function dispatch(fixture: Fixture, event: InterferenceEvent): Fixture {
  return run({ fixture, events: [event] });
}

function shareOf(fixture: Fixture, { id }: Neighbour): number {
  return fixture.shares.get(taskKey(id)) ?? 1;
}

function advanceWindow(fixture: Fixture, harm: Harm): Fixture {
  const present = new Map(
    fixture.neighbours.map((task) => [task.workKind, shareOf(fixture, task)] as const),
  );
  const excess = [...present].reduce((sum, [kind, share]) => sum + (harm[kind] ?? 0) * share, 0);
  const noise = drawUniforms((fixture.nowMs % 9_973) / 9_973, 20);
  const served = noise.reduce(
    (current, part) =>
      dispatch(current, { kind: 'served', serviceMs: BASE_MS * (1 + excess) * (0.9 + 0.2 * part) }),
    fixture,
  );
  const nowMs = fixture.nowMs + WINDOW_MS;
  const samples = fixture.neighbours.map((task) => ({
    id: task.id,
    workKind: task.workKind,
    used: { processorsMilli: 1_000 * shareOf(fixture, task), memoryMb: 0, accelerators: 0 },
    lagMs: LAG_MS,
  }));
  const usage = [...fixture.usage, { atMs: nowMs, samples }].slice(-10);
  const { neighbours } = fixture;
  return dispatch({ ...served, nowMs, usage }, { kind: 'window', incarnation: 1, neighbours });
}

function advanceWindows(fixture: Fixture, harm: Harm, windows: number): Fixture {
  return Array.from({ length: windows }).reduce<Fixture>(
    (current) => advanceWindow(current, harm),
    fixture,
  );
}

/** Returns a fixture with a learned baseline, on which the tasks then start. */
function createLearned(neighbours: readonly Neighbour[]): Fixture {
  return { ...advanceWindows(createFixture(), {}, 20), neighbours };
}

it('interference: a harmless kind is not throttled', () => {
  const quiet = advanceWindows(createLearned([neighbour('a', 'render')]), { render: 0.02 }, 400);
  expect(quiet.steps).to.deep.equal([]);
});

it('interference: a harmful kind is throttled after 3 bad windows, and further if it stays harmful', () => {
  const first = advanceWindows(createLearned([neighbour('a', 'render')]), { render: 1 }, 2);
  expect(first.steps).to.deep.equal([]);
  const { steps, evicted } = advanceWindows(first, { render: 1 }, 12);
  expect(steps.map(({ share }) => share)).to.deep.equal([0.5, 0.2]);
  expect((steps[1]?.atMs ?? 0) - (steps[0]?.atMs ?? 0)).to.be.at.least(3 * WINDOW_MS);
  expect(evicted).to.have.length(1);
});

// Two kinds that always start together cannot be distinguished until one has run without the other.
it('interference: a harmful kind is distinguished from a harmless one beside it', () => {
  const harm = { render: 0.6, copy: 0 };
  const both = [neighbour('a', 'render'), neighbour('b', 'copy')];
  const copyOnly = advanceWindows(createLearned([neighbour('b', 'copy')]), harm, 40);
  const learned = advanceWindows({ ...copyOnly, neighbours: both }, harm, 6);
  expect(learned.steps.map(({ workKind }) => workKind)).to.include('render');
  expect(learned.steps.map(({ workKind }) => workKind)).to.not.include('copy');
});

it('interference: a throttled kind is restored after 10 good windows', () => {
  const throttled = advanceWindows(createLearned([neighbour('a', 'render')]), { render: 0.3 }, 4);
  expect(throttled.steps.map(({ share }) => share)).to.deep.equal([0.5]);
  const early = advanceWindows(throttled, {}, 9);
  expect(early.steps).to.have.length(1);
  expect(advanceWindows(early, {}, 4).steps.map(({ share }) => share)).to.deep.equal([0.5, 1]);
});

// Restores at a fixed interval would slow the service down every few seconds indefinitely.
it('interference: a persistently harmful kind is restored less and less often', () => {
  const { steps } = advanceWindows(
    createLearned([neighbour('a', 'render')]),
    { render: 0.3 },
    1_200,
  );
  const restores = steps.filter(({ share }) => share === 1).length;
  expect(restores).to.be.at.most(12);
});

it('interference: a task is evicted at most once in 10 minutes', () => {
  const task = neighbour('a', 'render');
  const cycle = (fixture: Fixture): Fixture =>
    advanceWindows({ ...fixture, neighbours: [task] }, { render: 5 }, 60);
  const { evicted } = Array.from({ length: 30 }).reduce<Fixture>(cycle, createLearned([task]));
  expect(evicted.length).to.be.within(2, 3);
  const gaps = evicted.slice(1).map(({ atMs }, index) => atMs - (evicted[index]?.atMs ?? 0));
  expect(Math.min(...gaps)).to.be.at.least(600_000);
});

it('interference: watchers are throttled and never evicted', () => {
  const watcher = { ...neighbour('a', 'stock'), role: 'watcher' as const };
  const { steps, evicted } = advanceWindows(createLearned([watcher]), { stock: 5 }, 100);
  expect(steps.map(({ share }) => share)).to.deep.equal([0.5, 0.2]);
  expect(evicted).to.deep.equal([]);
});

// A command without a reply may or may not have taken effect; either assumption may be wrong.
it('interference: a throttle without a reply is repeated', () => {
  const unanswered = advanceWindows(
    { ...createLearned([neighbour('a', 'render')]), answers: false },
    { render: 0.3 },
    20,
  );
  expect(unanswered.steps.length).to.be.within(2, 4);
  const recovered = advanceWindows({ ...unanswered, answers: true }, {}, 40);
  expect(recovered.shares.get('a/0')).to.equal(1);
});

it('interference: the slow-down is learned, sent once, and penalises placement', () => {
  const learned = advanceWindows(createLearned([neighbour('a', 'render')]), { render: 0.1 }, 300);
  const { state, slowDowns } = takeChangedSlowDowns(learned.state);
  expect(slowDowns).to.have.length(1);
  expect(penalty(slowDowns, 'quoter', 'render')).to.be.within(0.05, 0.15);
  expect(penalty(slowDowns, 'certdesk', 'render')).to.equal(0);
  expect(takeChangedSlowDowns(state).slowDowns).to.deep.equal([]);
});
