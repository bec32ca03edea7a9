export * from './core';
export * from './start';
export * from './types';
export * from './upstream';
