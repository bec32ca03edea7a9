import { parseArgs } from 'node:util';
import { BASELINES, OMNISCIENT, PRODUCT } from './routers';
import type { Behaviour, SimulationResult, Router, Scenario } from './sim';
import { simulateLoad } from './sim';

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' } } });
const seed = Number(values.seed);

const UPSTREAMS = 11;
const FAULT_SETTLE_MS = 5_000;

function behaviours(faulty: readonly Behaviour[]): readonly Behaviour[] {
  return [...faulty, ...Array<Behaviour>(UPSTREAMS - faulty.length).fill('healthy')];
}

function scenario(name: string, load: number, faulty: readonly Behaviour[] = []): Scenario {
  return {
    name,
    upstreams: behaviours(faulty),
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

function run<State, Timer>(where: Scenario, router: Router<State, Timer>): SimulationResult {
  const result = simulateLoad(where, router);
  process.stdout.write(`${row(router.name, result)}\n`);
  return result;
}

function runAll(where: Scenario): {
  readonly product: SimulationResult;
  readonly best: SimulationResult;
} {
  process.stdout.write(
    `${where.name} (load ${where.load}, seed ${where.seed})\n` +
      '  router              p50 ms    p99 ms  p99.9 ms  answer %    fail %  refuse %  attempts\n',
  );
  const product = run(where, PRODUCT);
  BASELINES.forEach((router) => run(where, router));
  return { product, best: run(where, OMNISCIENT) };
}

function judge(what: string, figure: number, isHit: boolean): void {
  process.stdout.write(`  ${what}: ${figure.toFixed(3)} ${isHit ? 'hit' : 'MISS'}\n\n`);
}

['co-op', 'kestrel'].forEach((site) => {
  const steady = runAll(scenario(`${site} steady at 80% of slots`, 0.8));
  const toBest = p99(steady.product) / p99(steady.best);
  judge('p99 / omniscient, target <= 1.10', toBest, toBest <= 1.1);

  const healthy = simulateLoad(scenario(`${site} healthy`, 0.6), PRODUCT);
  const faulty = runAll(
    scenario(`${site} one 10x slower, one failing, after 5 s`, 0.6, [
      'tenTimesSlower',
      'failsAtOnce',
    ]),
  );
  const toHealthy = p99(faulty.product) / p99(healthy);
  judge('p99 / healthy run, target <= 1.25', toHealthy, toHealthy <= 1.25);
  const total = faulty.product.answered + faulty.product.failed + faulty.product.refused;
  const extra = faulty.product.attempts / total - 1;
  judge('extra attempts / requests, target <= 0.10', extra, extra <= 0.1);

  const over = scenario(`${site} twice the capacity`, 2);
  const overload = runAll(over);
  const capacity =
    ((over.durationMs - over.countFromMs) * UPSTREAMS * over.slots) / over.meanServiceMs;
  const goodput = overload.product.answered / capacity;
  judge('goodput / capacity, target >= 0.95', goodput, goodput >= 0.95);
});
