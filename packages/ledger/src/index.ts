export * from './ledger';
