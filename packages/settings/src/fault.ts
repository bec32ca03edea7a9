/** Fault in a settings file. Lines and columns count from 1. */
export interface SettingsFault {
  readonly fileName: string;
  readonly line: number;
  readonly column: number;
  /** Path of the field, for example `callers.port`; empty for the whole file. */
  readonly field: string;
  readonly problem: string;
}

/** Formats a fault as one line, `file:line:column: field: problem`, which editors recognise. */
export function describeFault(fault: SettingsFault): string {
  const field = fault.field === '' ? '' : `${fault.field}: `;
  return `${fault.fileName}:${fault.line}:${fault.column}: ${field}${fault.problem}`;
}
