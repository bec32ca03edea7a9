/** Result of an access to the object store. */
export type ObjectResult =
  | { readonly kind: 'stored' }
  | { readonly kind: 'found'; readonly body: Uint8Array }
  | { readonly kind: 'absent' }
  | { readonly kind: 'unavailable' };

/** The platform's object store, which holds results and checkpoints. */
export interface ObjectPort {
  readonly put: (ref: string, body: Uint8Array) => Promise<ObjectResult>;
  readonly get: (ref: string) => Promise<ObjectResult>;
}
