export * from './eventqueue';
