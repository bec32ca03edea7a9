import { expect } from 'chai';
import { formatAddress, parseAddress } from '@bronzeyoke/types';

// Guards against an address that makes the function which connects to it throw.
it('address: only a host and a port from 1 to 65535 are taken', () => {
  expect(parseAddress('10.128.0.9:8080')).to.deep.equal({ host: '10.128.0.9', port: 8_080 });
  expect(parseAddress('localhost:65535')?.port).to.equal(65_535);
  [
    '',
    ':',
    '10.0.0.1',
    '10.0.0.1:',
    ':80',
    '10.0.0.1:0',
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:1e3',
    '10.0.0.1:80.5',
    '10.0.0.1: 80',
    '10.0.0.1:80:90',
    '10.0.0.1:abc',
    'a b:80',
    'a/b:80',
    `${'a'.repeat(300)}:80`,
    '10.0.0.1:80\r\n',
  ].forEach((odd) => expect(parseAddress(odd), odd).to.equal(undefined));
});

it('address: is written as it was read', () => {
  expect(formatAddress({ host: '10.0.0.1', port: 80 })).to.equal('10.0.0.1:80');
});
