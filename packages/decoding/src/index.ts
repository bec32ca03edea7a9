export * from './buffer';
export * from './cbor';
export * from './cost';
export * from './fault';
export * from './json';
export * from './parts';
export * from './schema';
