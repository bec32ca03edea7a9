export * from './admin';
export * from './budget';
export * from './core';
export * from './http';
export * from './problem';
export * from './start';
export * from './store';
export * from './types';
