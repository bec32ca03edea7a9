export * from './lifecycle';
