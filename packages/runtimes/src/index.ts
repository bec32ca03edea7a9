export * from './runtimes';
