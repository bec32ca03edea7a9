/** An item with its time. Of equal times, the lower `sequence` comes first. */
export interface TimedItem<Item> {
  readonly atMs: number;
  readonly sequence: number;
  readonly item: Item;
}

interface Node<Item> {
  readonly first: TimedItem<Item>;
  readonly rank: number;
  readonly left: Heap<Item>;
  readonly right: Heap<Item>;
}

/** A leftist heap, which is persistent and adds and removes items in logarithmic time. */
export type Heap<Item> = Node<Item> | undefined;

function isBefore<Item>(one: TimedItem<Item>, other: TimedItem<Item>): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.sequence < other.sequence);
}

function merge<Item>(one: Heap<Item>, other: Heap<Item>): Heap<Item> {
  if (one === undefined) return other;
  if (other === undefined) return one;
  const [root, rest] = isBefore(one.first, other.first) ? [one, other] : [other, one];
  const merged = merge(root.right, rest);
  const { left } = root;
  const isLeftDeeper = (left?.rank ?? 0) >= (merged?.rank ?? 0);
  const [deep, shallow] = isLeftDeeper ? [left, merged] : [merged, left];
  return { first: root.first, rank: (shallow?.rank ?? 0) + 1, left: deep, right: shallow };
}

/** Adds an item. */
export function push<Item>(heap: Heap<Item>, first: TimedItem<Item>): Heap<Item> {
  return merge(heap, { first, rank: 1, left: undefined, right: undefined });
}

/** Removes the earliest item. */
export function pop<Item>(heap: Heap<Item>): Heap<Item> {
  return heap === undefined ? undefined : merge(heap.left, heap.right);
}
