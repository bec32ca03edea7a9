/** Member of a gang on a worker. */
export interface GangMember {
  readonly key: string;
  /** Lets the member work from now on. */
  readonly begin: () => void;
  /** Ends the member because another one has ended. */
  readonly end: (how: 'done' | 'broken') => void;
}

/** Gangs whose members are present on any worker. A gang works once all of one run are present. */
export interface Gangs {
  readonly join: (run: string, size: number, member: GangMember) => void;
  /** A member has ended or is gone; those that work end with it. */
  readonly leave: (run: string, key: string, isDone: boolean) => void;
}

/** Creates the gangs of a deployment. */
export function createGangs(): Gangs {
  const runs = new Map<string, { readonly members: Map<string, GangMember>; isAtWork: boolean }>();
  return {
    join: (run, size, member) => {
      const gang = runs.get(run) ?? { members: new Map<string, GangMember>(), isAtWork: false };
      runs.set(run, gang);
      gang.members.set(member.key, member);
      if (gang.members.size < size) return;
      gang.isAtWork = true;
      gang.members.forEach(({ begin }) => begin());
    },
    leave: (run, key, isDone) => {
      const gang = runs.get(run);
      if (gang === undefined) return;
      gang.members.delete(key);
      if (!gang.isAtWork) return;
      runs.delete(run);
      gang.members.forEach(({ end }) => end(isDone ? 'done' : 'broken'));
    },
  };
}
