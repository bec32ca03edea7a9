import type { FleetConfig, Queue } from '@bronzeyoke/workflow';

/** The queue of a request: the host's queue with the longest prefix that the path begins with. */
export function selectQueue(config: FleetConfig, host: string, path: string): Queue | undefined {
  return config.queues
    .filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix))
    .reduce<Queue | undefined>(
      (best, queue) =>
        best === undefined || queue.pathPrefix.length > best.pathPrefix.length ? queue : best,
      undefined,
    );
}
