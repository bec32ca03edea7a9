export * from './changes';
export * from './check';
export * from './findings';
