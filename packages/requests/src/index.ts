export * from './chart';
export * from './group';
export * from './intent';
export * from './step';
export * from './types';
export { AGENT_RETURN_TIMEOUT_MS } from './upstream';
