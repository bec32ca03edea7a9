import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  advance,
  commitAll,
  createLeader,
  jobOf,
  listedRun,
  report,
  sentMessages,
  stageOf,
  submit,
} from './fixture';

const SITES = ['w1', 'w2', 'w3'] as const;
const GANG = jobOf('job1', [
  stageOf(3, {
    isGang: true,
    savesCheckpoints: true,
    needs: { processorsMilli: 4_000, memoryMb: 100, accelerators: 0 },
  }),
]);

/** Returns the task of a site with its attempt. */
function runAt(
  fixture: Fixture,
  site: string,
): { readonly task: string; readonly attempt: number } {
  const [task = '', run] =
    [...fixture.state.runs.byTask].find(([, { workerKey }]) => workerKey === `${site}@5`) ?? [];
  return { task, attempt: run?.attempt ?? 0 };
}

/** Returns the checkpoints in the start orders of an attempt. */
function startedFrom(fixture: Fixture, attempt: number): readonly (string | undefined)[] {
  return sentMessages(fixture, 'start').flatMap((effect) =>
    effect.kind === 'send' &&
    effect.message.kind === 'start' &&
    effect.message.run.attempt === attempt
      ? [effect.message.checkpoint]
      : [],
  );
}

/** Returns a leader with a gang whose members have saved the given values. */
function saving(values: readonly string[]): Fixture {
  const idle = commitAll(
    SITES.reduce<Fixture>((current, site) => report(current, site), createLeader()),
  );
  const placed = commitAll(submit(idle, GANG));
  return SITES.reduce((current, site, index) => {
    const { task, attempt } = runAt(current, site);
    const run = listedRun(task, attempt, { checkpoint: values[index] ?? '' });
    return commitAll(report(advance(current, 100), site, { running: [run], lastOrder: 99 }));
  }, placed);
}

/** Ends all members, because one of them was lost. */
function breakGang(fixture: Fixture, lastValues: readonly string[]): Fixture {
  const runs = SITES.map((site) => runAt(fixture, site));
  return SITES.reduce((current, site, index) => {
    const { task = '', attempt = 0 } = runs[index] ?? {};
    const end = { sequence: 1, task, attempt, end: 'gangBroken' as const };
    const ended = [{ ...end, checkpoint: lastValues[index] ?? '' }];
    return commitAll(report(advance(current, 100), site, { ended, lastOrder: 99 }));
  }, fixture);
}

// Guards against members of a gang that wait for each other for good, because they were started from
// different checkpoints.
it('gang: all members start from the checkpoint that most have saved', () => {
  const broken = breakGang(saving(['c4', 'c4', 'c4']), ['c5', 'c4', 'c5']);
  const again = commitAll(advance(broken, 500));
  expect(startedFrom(again, 2)).to.deep.equal(['c5', 'c5', 'c5']);
});

// Guards against a member that starts from the beginning because it has saved nothing.
it('gang: a member without a checkpoint starts from that of the others', () => {
  const broken = breakGang(saving(['', '', '']), ['', 'c1', '']);
  const again = commitAll(advance(broken, 500));
  expect(startedFrom(again, 2)).to.deep.equal(['c1', 'c1', 'c1']);
});

// Guards against different values when each member has saved another one.
it('gang: members with three different checkpoints start from one of them', () => {
  const broken = breakGang(saving(['c1', 'c2', 'c3']), ['c1', 'c2', 'c3']);
  const again = commitAll(advance(broken, 500));
  expect(new Set(startedFrom(again, 2)).size).to.equal(1);
  expect(startedFrom(again, 2)).to.have.length(3);
});
