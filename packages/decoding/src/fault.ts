import { assertNever } from '@bronzeyoke/types';

/** Reason for which a document is not decoded. */
export type DecodeFault =
  /** Its bytes cannot be read in its format. */
  | { readonly kind: 'unreadable' }
  | { readonly kind: 'tooDeep'; readonly maxDepth: number }
  /** Decoding it could take more memory than the limit. */
  | { readonly kind: 'tooCostly'; readonly maxCostBytes: number }
  /** A part of the format that no document of this project has. */
  | { readonly kind: 'unsupported'; readonly what: string }
  /** The first field that its schema does not accept. */
  | { readonly kind: 'notAccepted'; readonly field: string; readonly problem: string };

/** Describes a fault in a few words. */
export function describeDecodeFault(fault: DecodeFault): string {
  switch (fault.kind) {
    case 'unreadable':
      return 'not readable';
    case 'tooDeep':
      return `nested deeper than ${fault.maxDepth}`;
    case 'tooCostly':
      return `would take more than ${fault.maxCostBytes} bytes of memory`;
    case 'unsupported':
      return `${fault.what} is not supported`;
    case 'notAccepted':
      return `${fault.field}: ${fault.problem}`;
    default:
      return assertNever(fault);
  }
}
