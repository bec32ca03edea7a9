export * from './state';
