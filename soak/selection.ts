import type { Hop, LinkMode, Scope } from './types';
import { HOPS } from './types';

/** Kinds of faults. One that is listed twice comes twice as often. */
const KINDS = [
  'kill',
  'killBriefly',
  'killAll',
  'terminate',
  'pause',
  'pause',
  'reload',
  'slowOne',
  'slowDomain',
  'slowAll',
  'link',
  'link',
  'link',
  'link',
  'link',
  'storeDown',
  'storeSlow',
  'storeLosesAnswers',
  'storeWritesLate',
  'storeForgets',
  'workerCrash',
  'ordersLate',
  'oddDraining',
  'oddLeave',
  'oddAnnouncedLeave',
  'configure',
] as const;

const MODES = ['delay', 'silent', 'oneWay', 'reset', 'refuse'] as const satisfies readonly Exclude<
  LinkMode['kind'],
  'pass'
>[];

/** Scopes of faults on links. Most strike one link. */
const SCOPES = ['one', 'one', 'one', 'domain', 'all'] as const satisfies readonly Scope['kind'][];

/** Name of a kind of fault. */
export type FaultKind = (typeof KINDS)[number];

/** A kind of fault on links, named `HOP.MODE.SCOPE`. */
export interface LinkKind {
  readonly hop: Hop;
  readonly mode: (typeof MODES)[number];
  readonly scope: Scope['kind'];
}

/** Faults from which a plan chooses. */
export interface FaultSelection {
  readonly kinds: readonly FaultKind[];
  readonly links: readonly LinkKind[];
}

const ALL_LINKS: readonly LinkKind[] = HOPS.flatMap((hop) =>
  MODES.flatMap((mode) => SCOPES.map((scope) => ({ hop, mode, scope }))),
);

/** All kinds of faults. */
export const ALL_FAULTS: FaultSelection = { kinds: KINDS, links: ALL_LINKS };

/** Names of faults that a selection can list. */
export const FAULT_NAMES: readonly string[] = [
  ...new Set<string>(KINDS),
  ...HOPS.map((hop) => `${hop}[.${MODES.join('|')}[.${[...new Set(SCOPES)].join('|')}]]`),
];

/** Result of reading a list of names. */
export type SelectionResult =
  | { readonly kind: 'selected'; readonly selection: FaultSelection }
  | { readonly kind: 'unknownName'; readonly name: string };

function linksNamed(name: string): readonly LinkKind[] {
  return ALL_LINKS.filter(({ hop, mode, scope }) =>
    [hop, `${hop}.${mode}`, `${hop}.${mode}.${scope}`].includes(name),
  );
}

/** Reads a list of names, separated by commas: kinds of faults, hops, modes and scopes of links. */
export function selectFaults(list: string): SelectionResult {
  const names = list.split(',').map((name) => name.trim());
  const unknown = names.find(
    (name) => !KINDS.some((kind) => kind === name) && linksNamed(name).length === 0,
  );
  if (unknown !== undefined) return { kind: 'unknownName', name: unknown };
  const named = names.flatMap(linksNamed);
  const kinds = KINDS.filter((kind) => names.includes(kind));
  // Each kind comes as often as each list of links.
  const linkTurns = names
    .filter((name) => linksNamed(name).length > 0)
    .map((): FaultKind => 'link');
  const links = names.includes('link') ? ALL_LINKS : named;
  return { kind: 'selected', selection: { kinds: [...kinds, ...linkTurns], links } };
}
