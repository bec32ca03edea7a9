import { expect } from 'chai';
import type { Fixture } from './fixture';
import {
  commitAll,
  createLeader,
  join,
  lasting,
  leave,
  list,
  place,
  report,
  siteOf,
  wait,
} from './fixture';

/** Lasting tasks of 4 cores that wait while the only worker has 2 free ones. */
function waitingInVain(count: number): Fixture {
  const base = list(place(join(createLeader(), 'w0'), lasting('base', 2_000)), 'w0');
  const indices = Array.from({ length: count }, (_, index) => index);
  const full = indices.reduce((current, index) => {
    const site = `large${index}`;
    return list(place(join(current, site), lasting(`job${index}`, 4_000)), site);
  }, base);
  return indices.reduce((current, index) => leave(current, `large${index}`), full);
}

// Guards against tasks without a place that use up the searches of each pass, so that a later one is
// never looked at although a worker has room for it.
it('searchorder: a task that fits finds its place behind many that fit nowhere', () => {
  const joined = commitAll(report(waitingInVain(30), 'w1', { processorsMilli: 3_000 }));
  const started = list(wait(place(joined, lasting('small', 2_000)), 500), 'w1');
  const passes = Array.from({ length: 10 });
  const released = passes.reduce<Fixture>(
    (current) => wait(list(current, 'w0'), 200),
    leave(started, 'w1'),
  );
  expect(siteOf(started, 'small.0.0.0')).to.equal('w1');
  expect(siteOf(released, 'small.0.0.0')).to.equal('w0');
});
