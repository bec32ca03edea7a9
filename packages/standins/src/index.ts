export * from './machine';
export * from './spring';
export * from './upstream';
export * from './worker';
