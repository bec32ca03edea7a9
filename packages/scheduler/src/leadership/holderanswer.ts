/** What came of two attempts to connect to the address of the holder. */
export type HolderAnswer =
  /** Its machine refused both, so nothing listens there. */
  | { readonly kind: 'refused' }
  /** An entry answered, and told its id. */
  | { readonly kind: 'named'; readonly entryId: string }
  /** Neither, as behind a cut, at an overloaded entry, or at one of an older build. */
  | { readonly kind: 'silent' };

/** A question to the address of the holder, for one version of the lease row. */
export interface HolderProbe {
  readonly version: number;
  /** Time of an answer that shows that the holder has ended. */
  readonly endedAtMs?: number;
}

/** What an entry knows of the holder of the lease. */
export type HolderSign =
  /** Nothing tells that it has ended: its lease row counts. */
  | { readonly kind: 'unknown' }
  /** This process listens at its address, so its process has ended. */
  | { readonly kind: 'replaced' }
  /** Nobody listens at its address, or another entry does, and its row was read unchanged after that. */
  | { readonly kind: 'gone' };
