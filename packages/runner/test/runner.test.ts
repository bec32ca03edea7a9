import { expect } from 'chai';
import type { ListedRun, WorkerCallResult, WorkerReport } from '@bronzeyoke/ports';
import type { RunnerEffect, RunnerEvent, RunnerState } from '@bronzeyoke/runner';
import { createRunner, stepRunner } from '@bronzeyoke/runner';

interface Lab {
  readonly state: RunnerState;
  readonly effects: readonly RunnerEffect[];
  readonly nowMs: number;
}

const TASK = 'job1.0.0.0';
const KEY = 'i-1@5';
const LEADER = { host: 'h1', port: 1 };

const REPORT: WorkerReport = {
  id: 'i-1',
  address: 'w:1',
  bornAtMs: 5,
  service: 'quoter',
  domain: 'north',
  version: 'v1',
  isDraining: false,
  capacity: { processorsMilli: 4_000, memoryMb: 8_000, accelerators: 0 },
  labels: ['a', 'r1'],
  rack: 'r1',
  sequence: 1,
};

function give(lab: Lab, event: RunnerEvent, afterMs = 10): Lab {
  const nowMs = lab.nowMs + afterMs;
  const step = stepRunner(lab.state, event, { nowMs, random: 0 });
  return { state: step.state, effects: step.effects, nowMs };
}

function answerHold(
  lab: Lab,
  changes: Partial<Extract<WorkerCallResult, { kind: 'done' }>> = {},
): Lab {
  const callId = lab.state.holdCallId ?? 'none';
  const result = {
    kind: 'done' as const,
    clockMs: lab.nowMs,
    bornAtMs: 5,
    running: [],
    ended: [],
    ...changes,
  };
  return give(lab, { kind: 'callDone', callId, result });
}

/** Creates an agent with a worker that has answered, a leader and a lease. */
function leased(): Lab {
  const settings = { agentId: 'a1', firstToken: 100, seeds: [LEADER] };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const known = answerHold(give(start, { kind: 'heartbeat', report: REPORT }));
  const led = give(known, { kind: 'leader', term: 1, address: LEADER });
  const linked = give(led, { kind: 'linkOpened' });
  const message = { kind: 'grant', workerKey: KEY, leaseUntilClockMs: 5_000 } as const;
  return give(linked, { kind: 'received', message }, 60);
}

function order(lab: Lab): Lab {
  const message = {
    kind: 'start',
    workerKey: KEY,
    order: 1,
    run: { task: TASK, attempt: 1 },
    payload: 'work',
  } as const;
  return give(lab, { kind: 'received', message });
}

function callIdOf(lab: Lab, kind: string): string {
  const call = lab.effects.find((effect) => effect.kind === 'call' && effect.call.kind === kind);
  return call?.kind === 'call' ? call.callId : 'none';
}

function reportsOf(lab: Lab) {
  return lab.effects.flatMap((effect) =>
    effect.kind === 'send' && effect.message.kind === 'report' ? [effect.message] : [],
  );
}

const LISTED: ListedRun = { task: TASK, attempt: 1, checkpoint: '', percent: 1, load: 0 };

// Guards against a start that the worker performs without a lease.
it('agent: a start without a lease is refused', () => {
  const settings = { agentId: 'a1', firstToken: 100, seeds: [] };
  const start = { state: createRunner(settings), effects: [], nowMs: 0 };
  const linked = give(answerHold(give(start, { kind: 'heartbeat', report: REPORT })), {
    kind: 'linkOpened',
  });
  const refused = order(linked);
  expect(callIdOf(refused, 'start')).to.equal('none');
  expect(
    refused.effects.some((effect) => effect.kind === 'send' && effect.message.kind === 'refused'),
  ).to.equal(true);
});

// Guards against new work for a worker that is leaving.
it('agent: a draining worker gets no start', () => {
  const draining = { ...REPORT, isDraining: true, sequence: 2 };
  const lab = order(give(leased(), { kind: 'heartbeat', report: draining }));
  expect(callIdOf(lab, 'start')).to.equal('none');
});

// Guards against a late order that takes effect after the task was assigned elsewhere.
it('agent: an order without an answer raises the token and stays pending', () => {
  const ordered = order(leased());
  const callId = callIdOf(ordered, 'start');
  const lost = give(ordered, { kind: 'callDone', callId, result: { kind: 'lost' } });
  expect(lost.state.token).to.equal(101);
  const stale = answerHold(lost);
  expect(reportsOf(stale)[0]?.pending).to.have.length(1);
  const next = give(stale, { kind: 'tick' }, 60);
  expect(reportsOf(answerHold(next))[0]?.pending).to.have.length(0);
});

// Guards against a run that is reported missing because the list predates its start.
it('agent: a started run is pending until a later list', () => {
  const ordered = order(leased());
  const callId = callIdOf(ordered, 'start');
  const done = { kind: 'done', clockMs: 50 } as const;
  const started = give(ordered, { kind: 'callDone', callId, result: done });
  expect(reportsOf(answerHold(started))[0]?.pending).to.have.length(1);
  const next = give(answerHold(started), { kind: 'tick' }, 60);
  const seen = reportsOf(answerHold(next, { running: [LISTED] }))[0];
  expect(seen?.pending).to.have.length(0);
  expect(seen?.running).to.have.length(1);
});

// Guards against a worker that counts as gone after one refused connection, and against one that is
// never removed.
it('agent: a worker is gone after two refused connections', () => {
  const absent = (lab: Lab): Lab =>
    give(lab, {
      kind: 'callDone',
      callId: lab.state.holdCallId ?? 'none',
      result: { kind: 'notListening' },
    });
  const once = absent(leased());
  expect(once.state.worker?.workerKey).to.equal(KEY);
  const twice = absent(give(once, { kind: 'tick' }, 200));
  expect(twice.state.worker).to.equal(undefined);
  expect(
    twice.effects.some((effect) => effect.kind === 'send' && effect.message.kind === 'workerGone'),
  ).to.equal(true);
});

// Guards against a late heartbeat that restores an ended instance.
it('agent: a heartbeat of an earlier instance is ignored', () => {
  const later = { ...REPORT, bornAtMs: 900, sequence: 1 };
  const lab = give(give(leased(), { kind: 'heartbeat', report: later }), {
    kind: 'heartbeat',
    report: { ...REPORT, sequence: 9 },
  });
  expect(lab.state.worker?.report.bornAtMs).to.equal(900);
});

// Guards against an agent that connects to a replaced leader.
it('agent: an older term does not change the leader', () => {
  const lab = give(leased(), { kind: 'leader', term: 3, address: { host: 'h2', port: 1 } });
  const stale = give(lab, { kind: 'leader', term: 2, address: { host: 'h3', port: 1 } });
  expect(stale.state.target?.host).to.equal('h2');
});

// Guards against a connection that stays silent forever.
it('agent: a connection without answers from the leader is replaced', () => {
  const silent = give(leased(), { kind: 'tick' }, 1_600);
  expect(silent.effects.some(({ kind }) => kind === 'connect')).to.equal(true);
});

// Guards against tasks that wait for a lease to expire after their worker left without a leader.
it('agent: a worker that left is reported again on a new connection', () => {
  const alone = give(leased(), { kind: 'linkClosed' });
  const left = give(alone, { kind: 'workerLeft', id: 'i-1' });
  const linked = give(left, { kind: 'linkOpened' });
  expect(
    linked.effects.some(
      (effect) =>
        effect.kind === 'send' &&
        effect.message.kind === 'workerGone' &&
        effect.message.workerKey === KEY,
    ),
  ).to.equal(true);
});
