export * from './chart';
export { LEASE_MARGIN_MS, TICK_MS } from './limits';
export { createTasks, isTasksIdle, unconfirmedTasks, stepTasks } from './step';
export * from './types';
