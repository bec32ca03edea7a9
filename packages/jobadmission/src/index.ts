export * from './ask';
export * from './judge';
export * from './notice';
export * from './pools';
export * from './rate';
export * from './share';
export * from './step';
export * from './types';
