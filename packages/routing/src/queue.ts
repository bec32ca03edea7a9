/** A request that is queued until an upstream has room. */
export interface QueueItem {
  readonly requestId: string;
  readonly deadlineAtMs: number;
}

interface Node {
  readonly item: QueueItem;
  readonly rank: number;
  readonly left: Node | undefined;
  readonly right: Node | undefined;
}

/** Requests by earliest deadline, in a leftist heap: adding and removing take O(log n), no copies. */
export interface DeadlineQueue {
  readonly root: Node | undefined;
}

/** A queue without requests. */
export const EMPTY_QUEUE: DeadlineQueue = { root: undefined };

function node(item: QueueItem, one: Node | undefined, other: Node | undefined): Node {
  const [left, right] = (one?.rank ?? 0) >= (other?.rank ?? 0) ? [one, other] : [other, one];
  return { item, rank: (right?.rank ?? 0) + 1, left, right };
}

function merge(one: Node | undefined, other: Node | undefined): Node | undefined {
  if (one === undefined) return other;
  if (other === undefined) return one;
  return one.item.deadlineAtMs <= other.item.deadlineAtMs
    ? node(one.item, one.left, merge(one.right, other))
    : node(other.item, other.left, merge(other.right, one));
}

/** Returns the queue with an additional request. */
export function addToQueue(queue: DeadlineQueue, item: QueueItem): DeadlineQueue {
  return { root: merge(queue.root, { item, rank: 1, left: undefined, right: undefined }) };
}

/** Returns the request with the earliest deadline. */
export function firstInQueue(queue: DeadlineQueue): QueueItem | undefined {
  return queue.root?.item;
}

/** Returns the queue without the request that has the earliest deadline. */
export function removeFirst(queue: DeadlineQueue): DeadlineQueue {
  return { root: merge(queue.root?.left, queue.root?.right) };
}
