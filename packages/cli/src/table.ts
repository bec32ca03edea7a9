const WIDTH = 80;
const GAP = '  ';
const MIN_COLUMN = 4;

/** A column of a table. */
export interface Column<Row> {
  readonly title: string;
  readonly cell: (row: Row) => string | number;
}

function cut(text: string, width: number): string {
  return text.length <= width ? text.padEnd(width) : `${text.slice(0, width - 1)}~`;
}

/** Narrows the widest column until the table fits. */
function fit(widths: readonly number[]): readonly number[] {
  const total = widths.reduce((sum, width) => sum + width, GAP.length * (widths.length - 1));
  const widest = Math.max(...widths);
  if (total <= WIDTH || widest <= MIN_COLUMN) return widths;
  const second = Math.max(MIN_COLUMN, ...widths.filter((width) => width < widest));
  const narrower = Math.max(second, widest - (total - WIDTH), MIN_COLUMN);
  const at = widths.indexOf(widest);
  return fit(widths.with(at, Math.min(narrower, widest - 1)));
}

/** Lays out rows in at most 80 columns. What does not fit is cut and ends in "~". */
export function formatTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string {
  const cells = rows.map((row) => columns.map((column) => String(column.cell(row))));
  const titles = columns.map((column) => column.title);
  const widths = fit(
    columns.map((_, index) =>
      Math.max(...[titles, ...cells].map((line) => (line[index] ?? '').length)),
    ),
  );
  return [titles, ...cells]
    .map((line) => line.map((text, index) => cut(text, widths[index] ?? 0)).join(GAP))
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
}
