import { Map } from 'immutable';
import type { WorkerLoad } from '@bronzeyoke/placement';
import { withTask } from '@bronzeyoke/placement';
import { NO_RESOURCES } from '@bronzeyoke/types';
import type { SchedulerState } from './types';

/** Returns the load of each usable worker. */
export function workerLoads(state: SchedulerState, nowMs: number): Map<string, WorkerLoad> {
  const usable = state.workers.filter(
    ({ report, linkId, quarantinedUntilMs }) =>
      report !== undefined &&
      linkId !== undefined &&
      !report.isDraining &&
      !state.domainsOut.has(report.domain) &&
      nowMs >= quarantinedUntilMs,
  );
  const empty = Map(
    usable.valueSeq().flatMap(({ workerKey, report }): readonly [string, WorkerLoad][] => {
      if (report === undefined) return [];
      const { domain, rack, labels, capacity } = report;
      return [
        [
          workerKey,
          {
            workerKey,
            domain,
            rack,
            labels,
            capacity,
            reserved: NO_RESOURCES,
            fillRequestedMilli: 0,
            fillUsedMilli: 0,
            servingImages: [],
            fills: [],
          },
        ],
      ];
    }),
  );
  const runs = state.runs.byTask.valueSeq();
  return empty.withMutations((loads) => {
    [...runs, ...state.orphans.values()].forEach((run) => {
      const { workerKey, stage } = run;
      const load = loads.get(workerKey);
      if (load === undefined) return;
      const usedMilli = stage.fillsIdle && 'load' in run ? run.load : 0;
      const { fillUsedMilli, ...taken } = withTask(load, stage);
      loads.set(workerKey, { ...taken, fillUsedMilli: fillUsedMilli + usedMilli });
    });
  });
}
