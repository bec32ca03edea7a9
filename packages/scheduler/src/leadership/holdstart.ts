/**
 * Time for which a stored claim waits for the next connection of its agent. An agent that replaces its
 * connection or starts anew is back within it; giving the claim back costs two more rows and a pass.
 */
export const HOLD_START_MS = 1_000;
