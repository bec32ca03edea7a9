export * from './chart';
