export * from './absences';
export { FLEET_TIMES } from './process';
export * from './repeats';
export * from './run';
export * from './runrecords';
export * from './workerfaults';
export * from './world';
