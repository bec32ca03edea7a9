import { expect } from 'chai';
import { claimLoopbackRange } from '../loopback';

// Guards against parallel soaks whose programs listen at the same address: one of them would end.
it('soak: parallel runs have different addresses', async () => {
  const ranges = await Promise.all(Array.from({ length: 4 }, () => claimLoopbackRange()));
  const addresses = ranges.flatMap(({ nextAddress }) => [nextAddress(), nextAddress()]);
  ranges.forEach(({ release }) => release());
  expect(new Set(addresses).size).to.equal(addresses.length);
});

// Guards against a run that leaves its range claimed, so that many runs in turn use up all of them.
it('soak: the range of a finished run is used again', async () => {
  const first = await claimLoopbackRange();
  const address = first.nextAddress();
  first.release();
  const second = await claimLoopbackRange();
  expect(second.nextAddress()).to.equal(address);
  second.release();
});

// Guards against an address that is no valid IPv4 address on a large site.
it('soak: a range has room for a site of hundreds of listeners', async () => {
  const { nextAddress, release } = await claimLoopbackRange();
  const hosts = Array.from({ length: 600 }, () => nextAddress().split(':')[0] ?? '');
  release();
  expect(hosts.every((host) => host.split('.').every((byte) => Number(byte) < 256))).to.equal(true);
  expect(new Set(hosts).size).to.equal(hosts.length);
});
