export * from './choose';
export * from './state';
