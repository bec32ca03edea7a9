import { chmod, stat } from 'node:fs/promises';
import { join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import type { Metafile, Plugin } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Programs to bundle, with the packages that their bundles must not contain. */
const PROGRAMS = [
  { name: 'bronzeyoke-entry', source: 'packages/entry/src/main.ts', banned: ['clipanion'] },
  {
    name: 'bronzeyoke-agent',
    source: 'packages/agent/src/main.ts',
    banned: ['clipanion', 'undici', '@opentelemetry', 'hdr-histogram-js'],
  },
  {
    name: 'bronzeyoke',
    source: 'packages/cli/src/main.ts',
    banned: ['nact', 'bunyan', '@opentelemetry'],
  },
  {
    name: 'bronzeyoke-node',
    source: 'platform/main.ts',
    banned: ['clipanion', 'undici', '@opentelemetry'],
  },
] as const;

// Bundled CommonJS packages call `require` for parts of Node.js, which an ES module does not have.
const BANNER = [
  '#!/usr/bin/env node',
  "import { createRequire as bronzeyokeRequire } from 'node:module';",
  'const require = bronzeyokeRequire(import.meta.url);',
].join('\n');

// Optional dependencies: bunyan and cbor-x work without them.
const OPTIONAL = ['dtrace-provider', 'mv', 'source-map-support', 'cbor-extract'];

/** Leaves out zod's messages in 50 languages, which its index loads all at once. */
const ENGLISH_ONLY: Plugin = {
  name: 'english-only',
  setup: ({ onLoad }) => {
    onLoad({ filter: /zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
    }));
  },
};

function packagesOf(metafile: Metafile, outfile: string): ReadonlySet<string> {
  const inputs = Object.keys(metafile.outputs[outfile]?.inputs ?? {});
  return new Set(
    inputs.flatMap((input) => {
      const found = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(input)?.[1];
      return found === undefined ? [] : [found];
    }),
  );
}

async function bundle(program: (typeof PROGRAMS)[number], folder: string): Promise<string> {
  const outfile = relative(root, join(folder, `${program.name}.mjs`));
  const { metafile } = await build({
    absWorkingDir: root,
    entryPoints: [program.source],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    banner: { js: BANNER },
    plugins: [ENGLISH_ONLY],
    external: [...OPTIONAL],
    mainFields: ['module', 'main'],
    legalComments: 'inline',
    minify: true,
    metafile: true,
    logLevel: 'warning',
  });
  const packages = packagesOf(metafile, outfile);
  const found = [...packages].filter((name) =>
    program.banned.some((banned) => name === banned || name.startsWith(`${banned}/`)),
  );
  if (found.length > 0) throw new Error(`${program.name} must not contain ${found.join(', ')}`);
  const path = join(root, outfile);
  await chmod(path, 0o755);
  const { size } = await stat(path);
  return `${outfile} ${Math.round(size / 1024)} KiB: ${[...packages].toSorted().join(' ')}`;
}

/** Bundles each program into one file of a folder. Returns a line on the size and packages of each. */
export async function buildPrograms(folder: string): Promise<readonly string[]> {
  return Promise.all(PROGRAMS.map((program) => bundle(program, folder)));
}
