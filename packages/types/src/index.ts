export * from './admin';
export * from './failure';
export * from './job';
export * from './agent';
export * from './request';
export * from './resources';
export * from './step';
export * from './ticket';
