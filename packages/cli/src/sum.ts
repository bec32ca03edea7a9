/** Adds up an amount of each item, 1 unless given, by a key of the items. */
export function sumBy<Item>(
  items: readonly Item[],
  key: (item: Item) => string,
  amount: (item: Item) => number = () => 1,
): Readonly<Record<string, number>> {
  return items.reduce<Readonly<Record<string, number>>>((sums, item) => {
    const name = key(item);
    return { ...sums, [name]: (sums[name] ?? 0) + amount(item) };
  }, {});
}
