import { writeFile } from 'node:fs/promises';
import { performance } from 'node:perf_hooks';

/** Something that a client, a worker, the platform or the test has seen or done. */
export interface Sight {
  readonly atMs: number;
  readonly kind: string;
  readonly fields: Readonly<Record<string, string | number>>;
}

/** Record of a case, in the order in which things happened. */
export interface CaseRecord {
  readonly nowMs: () => number;
  readonly add: (kind: string, fields?: Sight['fields']) => void;
  /** Calls a function with each sight from now on. */
  readonly onAdd: (listener: (sight: Sight) => void) => void;
  readonly sights: () => readonly Sight[];
  readonly save: (file: string) => Promise<void>;
}

/** Starts a record. Its times are milliseconds since now. */
export function startRecord(): CaseRecord {
  const startedMs = performance.now();
  const sights: Sight[] = [];
  const listeners: ((sight: Sight) => void)[] = [];
  const nowMs = (): number => Math.round(performance.now() - startedMs);
  return {
    nowMs,
    add: (kind, fields = {}) => {
      const sight = { atMs: nowMs(), kind, fields };
      sights.push(sight);
      listeners.forEach((listener) => listener(sight));
    },
    onAdd: (listener) => {
      listeners.push(listener);
    },
    sights: () => sights,
    save: async (file) => {
      const lines = sights.map(({ atMs, kind, fields }) => {
        const text = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
        return [String(atMs).padStart(6), kind, ...text].join(' ');
      });
      await writeFile(file, `${lines.join('\n')}\n`);
    },
  };
}
