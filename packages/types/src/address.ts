/** Address of a program on the network. */
export interface Address {
  /** IP address or host name. */
  readonly host: string;
  readonly port: number;
}

/** Largest port. Node's `connect` throws for a larger one. */
export const MAX_PORT = 65_535;

const MAX_HOST_CHARS = 253;
const HOST = /^[A-Za-z0-9.-]+$/;
const PORT = /^[0-9]{1,5}$/;

/** Returns whether a text can be the host of an address. */
export function isHost(text: string): boolean {
  return text.length <= MAX_HOST_CHARS && HOST.test(text);
}

/** Returns whether a number can be the port of an address. */
export function isPort(value: number): boolean {
  return Number.isInteger(value) && value >= 1 && value <= MAX_PORT;
}

/** Parses an address `host:port`; undefined when nothing could connect to it. */
export function parseAddress(text: string): Address | undefined {
  const colon = text.indexOf(':');
  const host = text.slice(0, Math.max(0, colon));
  const portText = text.slice(colon + 1);
  const port = PORT.test(portText) ? Number(portText) : 0;
  // `$` also matches before a line break at the end.
  const isPlain = !text.includes('\n');
  return isPlain && isHost(host) && isPort(port) ? { host, port } : undefined;
}

/** Returns an address as `host:port`. */
export function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}
