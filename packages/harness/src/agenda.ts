/** What is due at a time. Equal times keep the order in which they were added. */
export interface Due<Item> {
  readonly atMs: number;
  readonly sequence: number;
  readonly item: Item;
}

interface Node<Item> {
  readonly due: Due<Item>;
  readonly rank: number;
  readonly left: Heap<Item>;
  readonly right: Heap<Item>;
}

/** A leftist heap: persistent, with additions and removals in logarithmic time. */
export type Heap<Item> = Node<Item> | undefined;

function isBefore<Item>(one: Due<Item>, other: Due<Item>): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.sequence < other.sequence);
}

function merge<Item>(one: Heap<Item>, other: Heap<Item>): Heap<Item> {
  if (one === undefined) return other;
  if (other === undefined) return one;
  const [top, rest] = isBefore(one.due, other.due) ? [one, other] : [other, one];
  const merged = merge(top.right, rest);
  const { left } = top;
  const isLeftDeeper = (left?.rank ?? 0) >= (merged?.rank ?? 0);
  const [deep, shallow] = isLeftDeeper ? [left, merged] : [merged, left];
  return { due: top.due, rank: (shallow?.rank ?? 0) + 1, left: deep, right: shallow };
}

/** Adds an item. */
export function push<Item>(heap: Heap<Item>, due: Due<Item>): Heap<Item> {
  return merge(heap, { due, rank: 1, left: undefined, right: undefined });
}

/** Removes the earliest item. */
export function pop<Item>(heap: Heap<Item>): Heap<Item> {
  return heap === undefined ? undefined : merge(heap.left, heap.right);
}
