import { parseArgs } from 'node:util';
import { assertNever } from '@bronzeyoke/types';
import type { FaultSelection } from './selection';
import { ALL_FAULTS, FAULT_NAMES, selectFaults } from './selection';

/** Largest seed: seeds map to different plans below it. */
const MAX_SEED = 2_147_483_646;
const MAX_SECONDS = 86_400;
const MAX_ENTRIES = 32;
const MAX_WORKERS = 160;
const MAX_DOMAINS = 16;
const MAX_CALLERS = 500;

type OptionKind =
  | { readonly kind: 'count'; readonly min: number; readonly max: number }
  | { readonly kind: 'faults' }
  | { readonly kind: 'folder' };

interface OptionSpec {
  readonly name: string;
  /** Placeholder of the value in the usage. */
  readonly value: string;
  readonly fallback: string;
  readonly about: string;
  readonly type: OptionKind;
}

function countOption(
  name: string,
  fallback: number,
  [min, max]: readonly [number, number],
  about: string,
): OptionSpec {
  const type = { kind: 'count', min, max } as const;
  return { name, value: 'N', fallback: String(fallback), about, type };
}

const OPTIONS: readonly OptionSpec[] = [
  countOption('seed', 1, [0, MAX_SEED], 'seed of the plan of faults and of the callers'),
  countOption('seconds', 20, [1, MAX_SECONDS], 'time with faults'),
  countOption('entries', 3, [1, MAX_ENTRIES], 'entries, each a process'),
  countOption('workers', 4, [1, MAX_WORKERS], 'workers, each with an agent that is a process'),
  countOption('domains', 4, [1, MAX_DOMAINS], 'failure domains of entries and workers'),
  countOption('callers', 6, [1, MAX_CALLERS], 'simulated callers'),
  {
    name: 'faults',
    value: 'NAME,...',
    fallback: 'all',
    about: 'faults to choose from, see below',
    type: { kind: 'faults' },
  },
  {
    name: 'out',
    value: 'FOLDER',
    fallback: '.cache/soak',
    about: 'folder of timelines and logs',
    type: { kind: 'folder' },
  },
];

/** Checked options of a run. */
export interface CommandOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly entries: number;
  readonly workers: number;
  readonly domains: number;
  readonly callers: number;
  readonly selection: FaultSelection;
  readonly out: string;
}

/** Result of reading the command line. */
export type CommandLine =
  | { readonly kind: 'run'; readonly options: CommandOptions }
  | { readonly kind: 'help' }
  | { readonly kind: 'invalid'; readonly message: string };

/** Returns the usage with every option. */
export function formatUsage(): string {
  const heads = OPTIONS.map(({ name, value }) => `  --${name} ${value}`);
  const width = Math.max(...heads.map(({ length }) => length));
  const lines = OPTIONS.map(({ about, fallback, type }, index) => {
    const range = type.kind === 'count' ? `, ${type.min} to ${type.max}` : '';
    return `${(heads[index] ?? '').padEnd(width)}  ${about} (default ${fallback}${range})`;
  });
  return [
    'Usage: npm run soak -- [options]',
    '',
    'Runs the real programs under random faults and checks what callers and workers see.',
    'Ends with status 1 when a promise is broken, with status 2 when an option is invalid.',
    '',
    ...lines,
    `${'  --help'.padEnd(width)}  this text`,
    '',
    'Faults, by name; links by hop, mode and scope, such as agentWorker.refuse.one:',
    ...FAULT_NAMES.map((name) => `  ${name}`),
    '',
  ].join('\n');
}

/** Returns what is wrong with a value; undefined when nothing is. */
function findProblem({ name, type }: OptionSpec, value: string): string | undefined {
  switch (type.kind) {
    case 'count': {
      const count = Number(value);
      const isValid = /^\d+$/.test(value) && count >= type.min && count <= type.max;
      return isValid
        ? undefined
        : `--${name} must be a whole number from ${type.min} to ${type.max}, not "${value}"`;
    }
    case 'faults': {
      const result = value === 'all' ? undefined : selectFaults(value);
      return result?.kind === 'unknownName'
        ? `--${name}: "${result.name}" is no fault; --help lists them`
        : undefined;
    }
    case 'folder':
      return value === '' ? `--${name} must name a folder` : undefined;
    default:
      return assertNever(type);
  }
}

function parseValues(args: readonly string[]): ReadonlyMap<string, string> | string {
  try {
    const options = Object.fromEntries([
      ...OPTIONS.map(({ name }) => [name, { type: 'string' }] as const),
      ['help', { type: 'boolean', short: 'h' }] as const,
    ]);
    const { values } = parseArgs({ args: [...args], options });
    return new Map(Object.entries(values).map(([name, value]) => [name, String(value)]));
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}

/** Reads and checks the command line. */
export function parseCommandLine(args: readonly string[]): CommandLine {
  const given = parseValues(args);
  if (typeof given === 'string') return { kind: 'invalid', message: given };
  if (given.has('help')) return { kind: 'help' };
  const valueOf = (name: string): string =>
    given.get(name) ?? OPTIONS.find((option) => option.name === name)?.fallback ?? '';
  const problem = OPTIONS.map((option) => findProblem(option, valueOf(option.name))).find(
    (found) => found !== undefined,
  );
  if (problem !== undefined) return { kind: 'invalid', message: problem };
  const selected = selectFaults(valueOf('faults'));
  return {
    kind: 'run',
    options: {
      seed: Number(valueOf('seed')),
      seconds: Number(valueOf('seconds')),
      entries: Number(valueOf('entries')),
      workers: Number(valueOf('workers')),
      domains: Number(valueOf('domains')),
      callers: Number(valueOf('callers')),
      selection: selected.kind === 'selected' ? selected.selection : ALL_FAULTS,
      out: valueOf('out'),
    },
  };
}
