export * from './chart';
export * from './intent';
export * from './step';
export * from './types';
export { AGENT_RETURN_MS } from './upstream';
