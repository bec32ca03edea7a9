export * from './state';
export * from './watch';
