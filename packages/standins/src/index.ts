export * from './rows';
export * from './spring';
export * from './table';
export * from './upstream';
