import type { FleetConfig, Queue } from '@bronzeyoke/workflow';

/** Selects the queue of a request: of the host's queues, the one with the longest matching prefix. */
export function selectQueue(config: FleetConfig, host: string, path: string): Queue | undefined {
  return config.queues
    .filter((queue) => queue.host === host && path.startsWith(queue.pathPrefix))
    .reduce<Queue | undefined>(
      (longest, queue) =>
        longest === undefined || queue.pathPrefix.length > longest.pathPrefix.length
          ? queue
          : longest,
      undefined,
    );
}
