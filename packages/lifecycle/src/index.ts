export * from './role';
