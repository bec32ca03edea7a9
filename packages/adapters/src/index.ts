export * from './table';
