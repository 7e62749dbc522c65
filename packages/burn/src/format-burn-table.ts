import { burnWindows, type BurnReport } from './burn-types.js';

const formatLine = (cells: readonly string[], widths: readonly number[]): string =>
  cells
    .map((cell, column) =>
      column === 0 ? cell.padEnd(widths[0] ?? 0) : cell.padStart(widths[column] ?? 0),
    )
    .join('  ')
    .trimEnd();

/**
 * Describes how many nodes answered and lists the ids of those that did not.
 *
 * @example
 * describeAnsweredNodes(report); // '24 of 26 nodes answered; missing: ath-1-a, ath-1-b'
 */
export const describeAnsweredNodes = (report: BurnReport): string => {
  const { answeredNodes, totalNodes, missingNodeIds } = report;
  const missingCount = totalNodes - answeredNodes;
  const unnamedSuffix =
    missingCount > missingNodeIds.length ? ` and ${missingCount - missingNodeIds.length} more` : '';
  const missingSuffix =
    missingCount > 0 ? `; missing: ${missingNodeIds.join(', ')}${unnamedSuffix}` : '';
  return `${answeredNodes} of ${totalNodes} nodes answered${missingSuffix}`;
};

/**
 * Formats the report as a text table, worst service first.
 *
 * @example
 * console.log(formatBurnTable(summarizeBurn(answer)));
 */
export const formatBurnTable = (report: BurnReport): string => {
  const headerCells = [
    ...['service', 'target %', 'within ms'],
    ...burnWindows.map(({ name }) => `burn ${name}`),
    ...['left of 6 h %', 'spent of window %', 'calls 6 h'],
  ];
  const rows = report.services.map((row) => {
    const longestWindow = row.windows[row.windows.length - 1];
    return [
      row.service,
      String(row.targetPercent),
      String(row.latencyMs),
      ...row.windows.map(({ burnRate }) => burnRate.toFixed(2)),
      row.budgetLeftPercent.toFixed(1),
      row.objectiveSpentPercent.toFixed(2),
      String((longestWindow?.good ?? 0) + (longestWindow?.bad ?? 0)),
    ];
  });
  const widths = headerCells.map((cell, column) =>
    Math.max(cell.length, ...rows.map((cells) => cells[column]?.length ?? 0)),
  );
  const lines =
    rows.length > 0 ? rows.map((cells) => formatLine(cells, widths)) : ['(no objective has calls)'];
  return [formatLine(headerCells, widths), ...lines, describeAnsweredNodes(report)].join('\n');
};
