/* eslint-disable n/no-process-exit -- a case ends with its status while timers and connections are open */
// Runs a case: starts a site, plays it, judges the rule, writes the record, and ends with the status.
import { access } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { ask, FINISH_MS, submit, watchLost, writeRecord } from './judge.mjs';
import { newId, startSite, untilReady } from './site.mjs';
import { call } from './worker.mjs';

const BUNDLE = fileURLToPath(new URL('../../target/bronzeyoke-node.mjs', import.meta.url));
const QUICK = { cpu: 200, memMb: 50, workMs: 300 };

/** Tells whether the disruption is to be played. */
export const hasTrouble = process.env.TROUBLE !== '0';

const PROBE_MS = 500;

/** Asks each entry again and again whether it is ready; returns the longest time without an answer of each. */
function watchEntries(site) {
  const silent = site.entries.map(() => ({ sinceMs: site.nowMs(), longestMs: 0 }));
  const probe = async (index) => {
    const answer = await call(
      site.readyOf(index),
      'GET',
      '/bronzeyoke/readyz',
      undefined,
      PROBE_MS,
    );
    const nowMs = site.nowMs();
    const { sinceMs, longestMs } = silent[index];
    silent[index] = {
      sinceMs: answer === undefined ? sinceMs : nowMs,
      longestMs: Math.max(longestMs, nowMs - sinceMs),
    };
  };
  const timer = setInterval(() => silent.forEach((_, index) => probe(index)), PROBE_MS);
  return () => {
    clearInterval(timer);
    return silent.map(
      ({ longestMs }, index) =>
        `${site.entries[index].name} gave no answer to GET /bronzeyoke/readyz for ${longestMs} ms at most`,
    );
  };
}

/** Submits a quick job, as an ordinary client does. */
export function submitQuick(site, entry) {
  const phases = [{ count: 4, cpu: QUICK.cpu, memMb: QUICK.memMb, estimateMs: QUICK.workMs }];
  return submit(site, 'quick', '/quick/', newId(), { spec: 'quick', phases }, { entry });
}

/** Starts a site, plays the case, and ends with the status that its findings ask for. */
async function runCase({ title, folder, workers, plan, play, judge }) {
  const isBuilt = await access(BUNDLE).then(
    () => true,
    () => false,
  );
  if (!isBuilt) {
    process.stderr.write('target/ is missing: run the build of the deploy file\n');
    process.exit(2);
  }
  const notes = [];
  const site = await startSite({
    workers,
    plan: (task) => plan(task) ?? QUICK,
    note: (note) => notes.push(note),
  });
  const end = async (status) => {
    await site.close();
    process.exit(status);
  };
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.once(signal, () => end(2)));
  if (!(await untilReady(site))) {
    process.stderr.write('the entries are not ready\n');
    await end(2);
  }
  const jobs = await play(site, notes);
  const accepted = jobs.filter(({ isAccepted }) => isAccepted);
  const { findings, facts } = await judge(site, notes, accepted);
  const shown = await ask(site, accepted, { tries: 3 });
  const exits = site.programs.flatMap(({ name, exits: list }) =>
    list.map(({ code, signal }) => `${name} ended by itself: ${code} ${signal}`),
  );
  const allFacts = [
    `TROUBLE=${hasTrouble ? 1 : 0}`,
    `${accepted.length} of ${jobs.length} jobs were accepted`,
    ...facts,
    ...exits,
    'jobs, asked for at the end:',
    ...shown,
  ];
  await writeRecord(`${folder}/record.txt`, { title, notes, findings, facts: allFacts });
  process.stdout.write(`${[title, ...allFacts, ...findings].join('\n')}\n`);
  await end(findings.length > 0 ? 1 : 0);
}

/**
 * Runs a case on the rule LOST. `play` submits the traffic, with the disruption if there is to be one, and
 * returns the jobs; `plan` tells of the runs of its own jobs. Jobs are watched for `watchMs` from
 * `FINISH_MS` after that.
 */
export function runLostCase({ play, watchMs, ...options }) {
  const watch = { end: () => [] };
  return runCase({
    ...options,
    play: (site, notes) => {
      watch.end = watchEntries(site);
      return play(site, notes);
    },
    judge: async (site, notes, accepted) => {
      const endedAtMs = site.nowMs();
      await sleep(FINISH_MS);
      const findings = await watchLost(site, notes, accepted, watchMs);
      const { refused } = site.store;
      const first = refused.length === 0 ? '' : `, the first ${JSON.stringify(refused[0])}`;
      const facts = [
        `the traffic ended at ${endedAtMs} ms; jobs were watched from ${endedAtMs + FINISH_MS} ms on for ${watchMs} ms`,
        `transactions that the store refused as too large: ${refused.length}${first}`,
        ...watch.end(),
      ];
      return { findings, facts };
    },
  });
}

/** Ends of a process by itself after which its machine counts, and the least number of such machines. */
const MAX_OWN_ENDS = 3;
const MIN_MACHINES = 2;
const MACHINES_SHARE = 0.1;

/** Runs a case on processes that end by themselves, which are started again after a short delay. */
export function runEndsCase({ play, ...options }) {
  return runCase({
    ...options,
    play: async (site, notes) => {
      site.restartOwnEnds();
      return play(site, notes);
    },
    judge: async (site) => {
      const counts = site.programs.filter(({ ownEnds }) => ownEnds.length > 0);
      const struck = counts.filter(({ ownEnds }) => ownEnds.length >= MAX_OWN_ENDS);
      const needed = Math.max(MIN_MACHINES, site.programs.length * MACHINES_SHARE);
      const findings =
        struck.length < needed
          ? []
          : struck.map(
              ({ name, ownEnds }) =>
                `FAULT ${name}: the process ended by itself ${ownEnds.length} times, at ${ownEnds.map(({ atMs }) => atMs).join(', ')} ms`,
            );
      const facts = counts.map(
        ({ name, ownEnds }) => `${name} ended by itself: ${JSON.stringify(ownEnds)}`,
      );
      return { findings, facts };
    },
  });
}
