import { expect } from 'chai';
import type { EventFields, EventName } from '../src';
import { AWAY_REASONS, createEventLog, createEventMetrics, createHistogram } from '../src';

interface Entry {
  readonly event: EventName;
  readonly fields: EventFields;
}

/** Writes entries within one second, a last one a second later, and returns the parsed lines. */
function writeAll(entries: readonly Entry[], last: Entry) {
  const texts: string[] = [];
  const clock = { nowMs: 1_000 };
  const sink = { write: (line: string) => texts.push(line), unsentBytes: () => 0 };
  const log = createEventLog({ name: 'n' }, sink, () => clock.nowMs);
  entries.forEach(({ event, fields }) => log.write(event, fields));
  clock.nowMs += 1_000;
  log.write(last.event, last.fields);
  const lines: readonly EventFields[] = texts.map((text) => JSON.parse(text));
  return { lines, droppedLines: log.droppedLines() };
}

const quick: Entry = { event: 'taskPlaced', fields: { task: 'quick' } };
const lasting: Entry = { event: 'taskPlaced', fields: { task: 'lasting', isLasting: true } };

function repeat(entry: Entry, count: number): readonly Entry[] {
  return Array.from({ length: count }, () => entry);
}

function countOf(lines: readonly EventFields[], { fields }: Entry): number {
  return lines.filter(({ task }) => task === fields.task).length;
}

// Guards against a flood of quick tasks that hides what happens to lasting ones.
it('eventlog: a flood of quick tasks leaves room for lasting ones', () => {
  const { lines } = writeAll([...repeat(quick, 500), ...repeat(lasting, 30)], quick);
  expect(countOf(lines, lasting)).to.equal(30);
});

// Guards against lines of lasting tasks that raise the number of lines a second.
it('eventlog: lines of lasting tasks keep to the maximum of the event', () => {
  const { lines, droppedLines } = writeAll([...repeat(quick, 500), ...repeat(lasting, 500)], quick);
  expect(lines).to.have.length(101);
  expect(droppedLines).to.equal(900);
});

// Guards against a burst of lasting tasks that hides all quick ones, although lines are left.
it('eventlog: quick tasks keep their part while lasting ones use theirs', () => {
  const { lines } = writeAll([...repeat(lasting, 50), ...repeat(quick, 500)], lasting);
  expect(countOf(lines, quick)).to.equal(50);
});

// Guards against a reserve in events that no lasting task writes.
it('eventlog: other events may use all their lines', () => {
  const accepted: Entry = { event: 'jobAccepted', fields: { job: 'j' } };
  const { lines } = writeAll(repeat(accepted, 500), accepted);
  expect(lines).to.have.length(101);
});

// Guards against dropped lines that no later line counts.
it('eventlog: the next written line tells how many were left out', () => {
  const { lines } = writeAll([...repeat(quick, 60), lasting, ...repeat(quick, 7)], quick);
  expect(lines.flatMap(({ leftOut }) => leftOut ?? [])).to.deep.equal([10, 7]);
});

// Guards against a gauge that a former leader goes on exporting.
it('eventmetrics: the tasks that are away are exported by reason until another entry leads', () => {
  const metrics = createEventMetrics();
  const seriesOf = (): readonly string[] =>
    metrics
      .text(0)
      .split('\n')
      .filter((line) => line.startsWith('bronzeyoke_lasting_away{'));
  metrics.record('awayCounts', { total: 3, searching: 2, silent: 1 });
  expect(seriesOf()).to.include('bronzeyoke_lasting_away{reason="searching"} 2');
  expect(seriesOf()).to.have.length(AWAY_REASONS.length);
  metrics.record('leaderSeen', {});
  expect(seriesOf()).to.include('bronzeyoke_lasting_away{reason="searching"} 0');
});

// Guards against a gauge of blocked workers that an entry goes on showing when another one leads.
it('eventmetrics: blocked workers are a gauge that ends with the leadership', () => {
  const metrics = createEventMetrics(createHistogram);
  metrics.record('blockedCounts', { total: 2 });
  expect(metrics.text(0).split('\n')).to.include('bronzeyoke_workers_blocked 2');
  metrics.record('leaderLost', {});
  expect(metrics.text(0).split('\n')).to.include('bronzeyoke_workers_blocked 0');
});

// Guards against a gauge of limited queues that an entry goes on showing when another one leads.
it('eventmetrics: limited queues are a gauge that ends with the leadership', () => {
  const metrics = createEventMetrics(createHistogram);
  const seen = () => metrics.text(0).split('\n');
  metrics.record('admissionCounts', { limit: 1, refuse: 2 });
  expect(seen()).to.include('bronzeyoke_queues_limited{verdict="refuse"} 2');
  metrics.record('leaderLost', {});
  expect(seen()).to.include('bronzeyoke_queues_limited{verdict="refuse"} 0');
});

// Guards against waits that are counted while they go on, and again at their end.
it('eventmetrics: a wait for a place counts once, when the place is found', () => {
  const metrics = createEventMetrics(createHistogram);
  metrics.record('placeAwaited', { awaitedMs: 1_000 });
  metrics.record('placeAwaited', { awaitedMs: 2_000 });
  metrics.record('placeFound', { awaitedMs: 2_500 });
  const lines = metrics.text(0).split('\n');
  expect(lines).to.include('bronzeyoke_place_wait_seconds_count 1');
  expect(lines).to.include('bronzeyoke_place_wait_seconds_sum 2.5');
});

// Guards against releases that cannot be counted by the sign that they rest on.
it('eventmetrics: releases are counted by reason', () => {
  const metrics = createEventMetrics(createHistogram);
  ['workerGone', 'leaseExpired', 'workerGone'].forEach((reason) =>
    metrics.record('taskReleased', { reason }),
  );
  expect(metrics.text(0)).to.include('bronzeyoke_releases_total{reason="workerGone"} 2');
  expect(metrics.text(0)).to.include('bronzeyoke_releases_total{reason="leaseExpired"} 1');
});

// Guards against late ends that cannot be counted by what they cost.
it('eventmetrics: late ends are counted by state, and their repeated work in seconds', () => {
  const metrics = createEventMetrics(createHistogram);
  metrics.record('endAfterRelease', { state: 'unclaimed' });
  metrics.record('endAfterRelease', { state: 'ordered', repeatedMs: 1_500 });
  metrics.record('endAfterRelease', { state: 'ordered', repeatedMs: 250 });
  const lines = metrics.text(0).split('\n');
  expect(lines).to.include('bronzeyoke_ends_after_release_total{state="unclaimed"} 1');
  expect(lines).to.include('bronzeyoke_ends_after_release_total{state="ordered"} 2');
  expect(lines).to.include('bronzeyoke_repeated_work_seconds_total 1.75');
});

// Guards against operators who cannot see whether large tasks wait for gaps that are too small.
it('eventlog: gaps, backfilled tasks and waits for room are exported', () => {
  const metrics = createEventMetrics(createHistogram);
  metrics.record('gapCounts', { largestFreeMilli: 5_000, largestWaitingMilli: 6_400 });
  metrics.record('taskBackfilled', { task: 't' });
  metrics.record('taskPlaced', { task: 't', noRoomMs: 2_000, upToMilli: 1_000 });
  const text = metrics.text(0);
  expect(text).to.include('bronzeyoke_largest_gap_milli 5000');
  expect(text).to.include('bronzeyoke_largest_waiting_milli 6400');
  expect(text).to.include('bronzeyoke_tasks_backfilled_total 1');
  expect(text).to.include('bronzeyoke_no_room_seconds_count{upToMilli="1000"} 1');
});
