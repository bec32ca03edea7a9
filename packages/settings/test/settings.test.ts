import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import {
  agentSettingsSchema,
  describeFault,
  entrySettingsSchema,
  readSettings,
  renderSettingsPage,
} from '../src';

function faultsOf(text: string): readonly string[] {
  const result = readSettings(entrySettingsSchema, 'entry.jsonc', text);
  return result.ok ? [] : result.failure.map(describeFault);
}

const VALID = `{
  // Comments are allowed.
  "domain": "hobart",
  "callers": { "host": "127.0.0.1", "port": 0 },
  "agents": { "host": "127.0.0.1", "port": 0 },
}`;

it('settings: a file with comments gets its defaults', () => {
  const result = readSettings(entrySettingsSchema, 'entry.jsonc', VALID);
  expect(result).to.deep.include({ ok: true });
  if (result.ok) expect(result.value.tracing).to.deep.equal({ sampleRatio: 0.01 });
});

it('settings: every fault is listed, not only the first', () => {
  const text = `{
  "domian": "hobart",
  "callers": { "host": "localhost", "port": -1 },
  "agents": { "host": "127.0.0.1", "port": 70000 },
  "tableConnections": "16",
  "tracing": { "sampleRatio": 1e999 },
  "tracing": {}
}`;
  expect(faultsOf(text)).to.deep.equal([
    'entry.jsonc:1:1: domain: missing string',
    'entry.jsonc:2:3: domian: unknown field',
    'entry.jsonc:3:24: callers.host: not an IP number',
    'entry.jsonc:3:45: callers.port: negative',
    'entry.jsonc:4:44: agents.port: too large: the maximum is 65535',
    'entry.jsonc:5:23: tableConnections: expected number, found string',
    'entry.jsonc:7:3: tracing: given more than once',
  ]);
});

it('settings: a missing address is reported with its field', () => {
  expect(faultsOf('{"domain": "hobart", "agents": {"host": "127.0.0.1"}}')).to.deep.equal([
    'entry.jsonc:1:1: callers: missing object',
    'entry.jsonc:1:32: agents.port: missing number',
  ]);
});

it('settings: NaN and a number beyond the range of doubles are faults', () => {
  const withPort = (value: string): string => VALID.replace('"port": 0', `"port": ${value}`);
  expect(faultsOf(withPort('NaN'))[0]).to.match(
    /^entry\.jsonc:4:\d+: callers\.port: not valid JSON/,
  );
  expect(faultsOf(withPort('1e999'))).to.deep.equal(['entry.jsonc:4:45: callers.port: too large']);
});

it('settings: a large or deeply nested file is refused before it is parsed', () => {
  expect(faultsOf(' '.repeat(1_048_577))).to.deep.equal([
    'entry.jsonc:1:1: larger than 1048576 bytes',
  ]);
  expect(faultsOf('['.repeat(100_000))).to.deep.equal(['entry.jsonc:1:33: nested deeper than 32']);
});

// Guards against a file whose syntax tree exhausts the heap of a running process that reloads it.
it('settings: a file of many values is refused before it is parsed', () => {
  const [fault = ''] = faultsOf(`{"domain":[${'[],'.repeat(349_000)}0]}`);
  expect(fault).to.match(/^entry\.jsonc:1:\d+: more than \d+ tokens$/);
});

function unknownFields(count: number): string {
  return `{${Array.from({ length: count }, (_, index) => `"a${index}":0,`).join('')}}`;
}

// Guards against faults that are located one by one in a long file, which kept a process busy for minutes.
it('settings: the first faults of many are listed', () => {
  const duplicates = faultsOf(`{${'"domain":0,'.repeat(90_000)}}`);
  const unknown = faultsOf(unknownFields(20_000));
  const broken = faultsOf(`[${'0 '.repeat(300_000)}]`);
  const wrong = faultsOf(`{"tokens":[${'0,'.repeat(990)}]}`);
  [duplicates, unknown, broken, wrong].forEach((faults) => expect(faults).to.have.length(50));
  expect(faultsOf(unknownFields(60_000))).to.have.length(1);
  expect(duplicates.at(2)).to.match(/^entry\.jsonc:1:\d+: domain: given more than once$/);
});

it('settings: __proto__ is an unknown field', () => {
  const result = readSettings(agentSettingsSchema, 'a', '{"__proto__": {"worker": "w"}}');
  const fields = result.ok ? [] : result.failure.map((fault) => fault.field);
  expect(fields).to.include('__proto__').and.to.include('worker');
});

it('settings: a token with the role team but no team is a fault', () => {
  const token = `{"name": "a", "sha256": "${'0'.repeat(64)}", "role": "team"}`;
  const text = VALID.replace('"domain"', `"tokens": [${token}], "domain"`);
  expect(faultsOf(text)[0]).to.contain('tokens[0].team: required for the role "team"');
});

it('settings: docs/settings.md is up to date with the schemas', async () => {
  const page = await readFile(new URL('../../../docs/settings.md', import.meta.url), 'utf8');
  expect(page).to.equal(renderSettingsPage());
});
