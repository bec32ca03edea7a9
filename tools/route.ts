import { performance } from 'node:perf_hooks';
import { build } from 'hdr-histogram-js';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RoutingState } from '@bronzeyoke/routing';
import {
  addUpstream,
  chooseUpstream,
  countEnded,
  countSent,
  createRouting,
  markFull,
} from '@bronzeyoke/routing';

// Measures a routing decision at the expected fleet size, for several shares of slots in use.
const UPSTREAMS = 630;
const SLOTS = 8;
const WARM_UP = 5_000;
const DECISIONS = 50_000;
const SEED = 20_261_204;
const NS_PER_MS = 1_000_000;
const NS_PER_US = 1_000;

const generator = xoroshiro128plus(SEED);
const random = (): number => uniformFloat64(generator);

const domains = ['hobart', 'launceston', 'devonport', 'burnie'];

const idle = Array.from({ length: UPSTREAMS }, (_, index) => index).reduce<RoutingState>(
  (state, index) =>
    addUpstream(state, {
      agentId: `agent-${index}`,
      service: 'quoter',
      domain: domains[index % domains.length] ?? '',
      slots: SLOTS,
      connections: 64,
    }),
  createRouting('hobart'),
);

function measure(share: number): void {
  const target = Math.floor(UPSTREAMS * SLOTS * share);
  const decisions = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000_000 });
  const openAttempts: string[] = [];
  let state = idle;
  for (let index = 0; index < WARM_UP + target + DECISIONS; index += 1) {
    const startMs = performance.now();
    const agentId = chooseUpstream(state, 'quoter', [], random());
    const chosenMs = performance.now();
    if (agentId === undefined) {
      state = markFull(state, 'quoter');
    } else {
      state = countSent(state, agentId);
      openAttempts.push(agentId);
    }
    if (openAttempts.length >= target) {
      const endedIndex = Math.floor(random() * openAttempts.length);
      const latencyMs = 5 + random() * 10;
      state = countEnded(
        state,
        openAttempts[endedIndex] ?? '',
        { kind: 'answered', latencyMs, isFailure: false },
        index,
      ).state;
      openAttempts[endedIndex] = openAttempts.at(-1) ?? '';
      openAttempts.pop();
    }
    if (index >= WARM_UP + target) {
      decisions.recordValue(Math.round((chosenMs - startMs) * NS_PER_MS));
    }
  }
  const us = (percentile: number): string =>
    (decisions.getValueAtPercentile(percentile) / NS_PER_US).toFixed(1);
  process.stdout.write(
    `${share * 100}% of slots: median ${us(50)} us, p99 ${us(99)} us, ${DECISIONS} decisions\n`,
  );
}

[0.1, 0.5, 0.8, 0.95, 1].forEach(measure);
