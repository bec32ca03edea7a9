/** Failure domains that operators evacuate, as far as an entry knows them. */
export type Evacuations =
  | { readonly kind: 'unread' }
  | {
      readonly kind: 'read';
      readonly domains: ReadonlySet<string>;
      /** Latest time at which the store is known to have held just these. */
      readonly confirmedAtMs: number;
    };

/** Returns whether a domain is known to be evacuated. */
export function isEvacuated(evacuations: Evacuations, domain: string): boolean {
  return evacuations.kind === 'read' && evacuations.domains.has(domain);
}
