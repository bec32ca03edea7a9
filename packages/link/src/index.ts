export * from './dialer';
export * from './guard';
export * from './quota';
export * from './socket';
