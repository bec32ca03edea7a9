export * from './dial';
export * from './socket';
