import { burnWindows, type BurnReport } from './burn-types.js';

const pad = (cells: readonly string[], widths: readonly number[]): string =>
  cells
    .map((cell, column) =>
      column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0),
    )
    .join('  ')
    .trimEnd();

/**
 * Sentence on how many nodes answered, with the names of those that did not.
 *
 * @example
 * describeAnsweredNodes(report); // '24 of 26 nodes answered; missing: ath-1-a, ath-1-b'
 */
export const describeAnsweredNodes = (report: BurnReport): string => {
  const { answeredNodes, totalNodes, missingNodeIds } = report;
  const missing = totalNodes - answeredNodes;
  const unnamed =
    missing > missingNodeIds.length ? ` and ${missing - missingNodeIds.length} more` : '';
  const names = missing > 0 ? `; missing: ${missingNodeIds.join(', ')}${unnamed}` : '';
  return `${answeredNodes} of ${totalNodes} nodes answered${names}`;
};

/**
 * Formats the report as a text table, worst service first.
 *
 * @example
 * console.log(formatBurnTable(summarizeBurn(answer)));
 */
export const formatBurnTable = (report: BurnReport): string => {
  const head = [
    ...['service', 'target %', 'within ms'],
    ...burnWindows.map(({ name }) => `burn ${name}`),
    ...['left of 6 h %', 'spent of window %', 'calls 6 h'],
  ];
  const rows = report.services.map((row) => {
    const last = row.windows[row.windows.length - 1];
    return [
      row.service,
      String(row.targetPercent),
      String(row.latencyMs),
      ...row.windows.map(({ burnRate }) => burnRate.toFixed(2)),
      row.budgetLeftPercent.toFixed(1),
      row.objectiveSpentPercent.toFixed(2),
      String((last?.good ?? 0) + (last?.bad ?? 0)),
    ];
  });
  const widths = head.map((cell, column) =>
    Math.max(cell.length, ...rows.map((cells) => cells[column]?.length ?? 0)),
  );
  const lines =
    rows.length > 0 ? rows.map((cells) => pad(cells, widths)) : ['(no objective has calls)'];
  return [pad(head, widths), ...lines, describeAnsweredNodes(report)].join('\n');
};
