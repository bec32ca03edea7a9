export * from './core';
