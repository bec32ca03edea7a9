// Odd heartbeats of another writer, each no longer than a heartbeat may be, come to the agents of two machines.
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { hasTrouble, runEndsCase, submitQuick } from '../lib-3/case.mjs';
import { call } from '../lib-3/worker.mjs';

/** Longest heartbeat that is to be acknowledged. */
const HEARTBEAT_BYTES = 4 * 1_048_576;
const AGENTS = 2;
const INTERVAL_MS = 1_100;
const PLAYED_MS = 60_000;
const TIMEOUT_MS = 5_000;

/** A heartbeat in which one field, `labels`, is of another type: a list of objects instead of texts. */
function createOddHeartbeat(worker) {
  const heartbeat = {
    service: 'quoter',
    addr: worker.address(),
    zone: 'hobart',
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
    capacity: { ...worker.room, gpu: 0 },
    clockMs: 1_000,
    seq: 1,
    born: worker.life().born,
    labels: [],
  };
  const left = HEARTBEAT_BYTES - JSON.stringify(heartbeat).length;
  return { ...heartbeat, labels: Array.from({ length: Math.floor(left / 3) }, () => ({})) };
}

await runEndsCase({
  title: 'odd heartbeats of another writer come to the agents of two machines',
  folder: fileURLToPath(new URL('.', import.meta.url)),
  workers: 6,
  plan: () => undefined,
  play: async (site) => {
    const jobs = [await submitQuick(site, 0), await submitQuick(site, 1)];
    const write = async (agent, worker) => {
      const body = createOddHeartbeat(worker);
      const endMs = site.nowMs() + PLAYED_MS;
      while (site.nowMs() < endMs && agent.ownEnds.length < 3) {
        // eslint-disable-next-line no-await-in-loop -- one heartbeat follows the other
        const answer = await call(
          agent.settings.heartbeats,
          'PUT',
          '/bronzeyoke/instances/i-odd',
          body,
          TIMEOUT_MS,
        );
        site.record({ what: 'odd heartbeat', agent: agent.name, status: answer?.status });
        // eslint-disable-next-line no-await-in-loop -- one heartbeat follows the other
        await sleep(INTERVAL_MS);
      }
    };
    if (hasTrouble) {
      await Promise.all(
        site.agents.slice(0, AGENTS).map((agent, index) => write(agent, site.workers[index])),
      );
    } else {
      await sleep(PLAYED_MS / 2);
    }
    return [...jobs, await submitQuick(site, 2)];
  },
});
