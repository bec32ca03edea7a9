export * from './actor';
export * from './core';
