/** Returns a function that computes a value once for each key, and keeps it as long as itself. */
export function memoize<Input, Key, Value>(
  keyOf: (input: Input) => Key,
  compute: (input: Input) => Value,
): (input: Input) => Value {
  const known = new Map<Key, { readonly value: Value }>();
  return (input) => {
    const key = keyOf(input);
    const found = known.get(key) ?? { value: compute(input) };
    known.set(key, found);
    return found.value;
  };
}
