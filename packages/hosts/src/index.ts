export * from './controller';
export * from './runner';
