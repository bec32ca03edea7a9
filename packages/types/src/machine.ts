/** What the machine gives to a process. */
export interface MachineLimits {
  readonly memoryMb: number;
  readonly maxFds: number;
}

/** Assumed where the settings name no machine. */
export const USUAL_MACHINE: MachineLimits = { memoryMb: 512, maxFds: 4_096 };

/** Bytes of a megabyte, as settings count it. */
export const BYTES_PER_MB = 1_048_576;
