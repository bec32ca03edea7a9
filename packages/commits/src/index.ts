export * from './group';
export * from './resolve';
