export * from './dialer';
export * from './socket';
