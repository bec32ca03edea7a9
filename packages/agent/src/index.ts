export * from './core';
export * from './monitor';
export * from './start';
export * from './types';
export * from './upstream';
