import { parseArgs } from 'node:util';
import { BASELINES, OMNISCIENT, BRONZEYOKE } from './routers';
import type { Behaviour, SimulationResult, Router, Scenario } from './sim';
import { simulateLoad } from './sim';

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } });
const seed = Number(values.seed);

const UPSTREAMS = 11;
const FAULT_SETTLE_MS = 5_000;

function withHealthy(faulty: readonly Behaviour[]): readonly Behaviour[] {
  return [...faulty, ...Array<Behaviour>(UPSTREAMS - faulty.length).fill('healthy')];
}

function createScenario(name: string, load: number, faulty: readonly Behaviour[] = []): Scenario {
  return {
    name,
    upstreams: withHealthy(faulty),
    slots: 8,
    connections: 64,
    meanServiceMs: 20,
    load,
    durationMs: 10_000,
    timeoutMs: 1_000,
    countFromMs: FAULT_SETTLE_MS,
    seed,
  };
}

function percentile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN;
}

function row(name: string, result: SimulationResult): string {
  const sorted = result.latenciesMs.toArray().toSorted((one, other) => one - other);
  const total = result.answered + result.failed + result.refused;
  const cell = (value: number, digits = 1): string => value.toFixed(digits).padStart(9);
  return [
    `  ${name.padEnd(16)}`,
    cell(percentile(sorted, 0.5)),
    cell(percentile(sorted, 0.99)),
    cell(percentile(sorted, 0.999)),
    cell((100 * result.answered) / total, 2),
    cell((100 * result.failed) / total, 2),
    cell((100 * result.refused) / total, 2),
    cell(result.attempts / total, 3),
  ].join(' ');
}

function p99(result: SimulationResult): number {
  return percentile(
    result.latenciesMs.toArray().toSorted((one, other) => one - other),
    0.99,
  );
}

function run<State, Timer>(scenario: Scenario, router: Router<State, Timer>): SimulationResult {
  const result = simulateLoad(scenario, router);
  process.stdout.write(`${row(router.name, result)}\n`);
  return result;
}

function runAll(scenario: Scenario): {
  readonly bronzeyoke: SimulationResult;
  readonly omniscient: SimulationResult;
} {
  process.stdout.write(
    `${scenario.name} (load ${scenario.load}, seed ${scenario.seed})\n` +
      '  router              p50 ms    p99 ms  p99.9 ms  answer %    fail %  refuse %  attempts\n',
  );
  const bronzeyoke = run(scenario, BRONZEYOKE);
  BASELINES.forEach((router) => run(scenario, router));
  return { bronzeyoke, omniscient: run(scenario, OMNISCIENT) };
}

function printTarget(label: string, value: number, isMet: boolean): void {
  process.stdout.write(`  ${label}: ${value.toFixed(3)} ${isMet ? 'hit' : 'MISS'}\n\n`);
}

['co-op', 'kestrel'].forEach((site) => {
  const steady = runAll(createScenario(`${site} steady at 80% of slots`, 0.8));
  const p99ToOmniscient = p99(steady.bronzeyoke) / p99(steady.omniscient);
  printTarget('p99 / omniscient, target <= 1.10', p99ToOmniscient, p99ToOmniscient <= 1.1);

  const healthy = simulateLoad(createScenario(`${site} healthy`, 0.6), BRONZEYOKE);
  const faulty = runAll(
    createScenario(`${site} one 10x slower, one failing, after 5 s`, 0.6, [
      'tenTimesSlower',
      'failsAtOnce',
    ]),
  );
  const p99ToHealthy = p99(faulty.bronzeyoke) / p99(healthy);
  printTarget('p99 / healthy run, target <= 1.25', p99ToHealthy, p99ToHealthy <= 1.25);
  const total = faulty.bronzeyoke.answered + faulty.bronzeyoke.failed + faulty.bronzeyoke.refused;
  const extraAttempts = faulty.bronzeyoke.attempts / total - 1;
  printTarget('extra attempts / requests, target <= 0.10', extraAttempts, extraAttempts <= 0.1);

  const overloadScenario = createScenario(`${site} twice the capacity`, 2);
  const overload = runAll(overloadScenario);
  const capacity =
    ((overloadScenario.durationMs - overloadScenario.countFromMs) *
      UPSTREAMS *
      overloadScenario.slots) /
    overloadScenario.meanServiceMs;
  const goodput = overload.bronzeyoke.answered / capacity;
  printTarget('goodput / capacity, target >= 0.95', goodput, goodput >= 0.95);
});
