import { expect } from 'chai';
import { formatUsage, parseCommandLine } from '../options';

const INVALID: readonly (readonly [args: readonly string[], message: string])[] = [
  [['--seed', 'x'], '--seed must be a whole number'],
  [['--seed', ''], '--seed must be a whole number'],
  [['--seconds', '0'], '--seconds must be a whole number from 1'],
  [['--workers', '1e9'], '--workers must be a whole number'],
  [['--callers', '1.5'], '--callers must be a whole number'],
  [['--entries', '33'], 'from 1 to 32, not "33"'],
  [['--faults', 'pause,slow'], '"slow" is no fault'],
  [['--out', ''], '--out must name a folder'],
  [['--sed', '1'], "Unknown option '--sed'"],
  [['7'], "Unexpected argument '7'"],
];

// Guards against a misspelt option or value that runs something else than was asked for.
it('soak: an invalid command line is refused with its reason', () => {
  INVALID.forEach(([args, message]) => {
    const result = parseCommandLine(args);
    expect(result.kind === 'invalid' ? result.message : result.kind).to.include(message);
  });
});

// Guards against options that are read and have no effect.
it('soak: each option has its value and its default', () => {
  const result = parseCommandLine(['--seed', '7', '--workers', '56', '--faults', 'pause']);
  if (result.kind !== 'run') throw new RangeError(result.kind);
  const { selection, ...numbers } = result.options;
  expect(numbers).to.deep.include({ seed: 7, seconds: 20, workers: 56, out: '.cache/soak' });
  expect(new Set(selection.kinds)).to.deep.equal(new Set(['pause']));
});

// Guards against an option that the usage leaves out.
it('soak: the usage names every option', () => {
  expect(parseCommandLine(['--help'])).to.deep.equal({ kind: 'help' });
  const usage = formatUsage();
  const run = parseCommandLine([]);
  if (run.kind !== 'run') throw new RangeError(run.kind);
  const { selection, ...rest } = run.options;
  expect(selection.links).not.to.deep.equal([]);
  Object.keys(rest).forEach((name) => expect(usage).to.include(`--${name} `));
  ['--faults ', '--help', 'agentWorker', 'oddLeave'].forEach((name) =>
    expect(usage).to.include(name),
  );
});
