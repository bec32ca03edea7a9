export * from './spring';
export * from './upstream';
