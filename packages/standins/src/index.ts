export * from './access';
export * from './machine';
export * from './rows';
export * from './spring';
export * from './table';
export * from './upstream';
export * from './worker';
