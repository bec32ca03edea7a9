const MAX_WIDTH_CHARS = 80;
const COLUMN_GAP = '  ';
const MIN_COLUMN_CHARS = 4;

/** Column of a table of rows. */
export interface Column<Row> {
  readonly title: string;
  readonly cell: (row: Row) => string | number;
}

function truncate(text: string, width: number): string {
  return text.length <= width ? text.padEnd(width) : `${text.slice(0, width - 1)}~`;
}

/** Narrows the widest column until the table fits. */
function fitWidths(widths: readonly number[]): readonly number[] {
  const total = widths.reduce((sum, width) => sum + width, COLUMN_GAP.length * (widths.length - 1));
  const widest = Math.max(...widths);
  if (total <= MAX_WIDTH_CHARS || widest <= MIN_COLUMN_CHARS) return widths;
  const secondWidest = Math.max(MIN_COLUMN_CHARS, ...widths.filter((width) => width < widest));
  const narrower = Math.max(secondWidest, widest - (total - MAX_WIDTH_CHARS), MIN_COLUMN_CHARS);
  const widestIndex = widths.indexOf(widest);
  return fitWidths(widths.with(widestIndex, Math.min(narrower, widest - 1)));
}

/** Formats rows in at most 80 columns. Text that does not fit is truncated and ends in "~". */
export function formatTable<Row>(columns: readonly Column<Row>[], rows: readonly Row[]): string {
  const cells = rows.map((row) => columns.map((column) => String(column.cell(row))));
  const titles = columns.map((column) => column.title);
  const widths = fitWidths(
    columns.map((_, index) =>
      Math.max(...[titles, ...cells].map((line) => (line[index] ?? '').length)),
    ),
  );
  return [titles, ...cells]
    .map((line) => line.map((text, index) => truncate(text, widths[index] ?? 0)).join(COLUMN_GAP))
    .map((line) => `${line.trimEnd()}\n`)
    .join('');
}
