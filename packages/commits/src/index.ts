export * from './group';
export * from './settle';
