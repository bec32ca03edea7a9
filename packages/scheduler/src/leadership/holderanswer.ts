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
