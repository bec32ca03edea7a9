export * from './absences';
export { FLEET_TIMES } from './process';
export * from './run';
export * from './workerfaults';
export * from './world';
