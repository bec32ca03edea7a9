export * from './follow';
