import { plotPointMinutes, type BurnReport, type BurnServiceRow } from './burn-types.js';
import { describeAnsweredNodes } from './format-burn-table.js';

const plotWidthPx = 240;
const plotHeightPx = 40;
const plotSpanMs = 6 * 3_600_000;
const plotPointMs = plotPointMinutes * 60_000;
/** Burn rate at the top of a plot, unless a point has a higher one. */
const plotTopMinBurnRate = 2;

/** Prevents a rate of exactly 1 from being marked as over 1 because of rounding. */
const burnRateTolerance = 1e-9;

const htmlEscapes: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

const escapeHtml = (text: string): string =>
  text.replace(/[&<>"']/g, (character) => htmlEscapes[character] ?? '');

/** Formats a plot of the burn rate over the last 6 hours as bars, with a line at a rate of 1. */
const formatPlot = (row: BurnServiceRow, nowUnixMs: number): string => {
  const endUnixMs = (Math.floor(nowUnixMs / plotPointMs) + 1) * plotPointMs;
  const topBurnRate = Math.max(plotTopMinBurnRate, ...row.points.map(({ burnRate }) => burnRate));
  const barWidthPx = (plotWidthPx * plotPointMs) / plotSpanMs;
  const bars = row.points
    .map(({ atUnixMs, burnRate }) => {
      const x = Math.max(0, plotWidthPx * (1 - (endUnixMs - atUnixMs) / plotSpanMs));
      const barHeightPx = (plotHeightPx * burnRate) / topBurnRate;
      const cssClass = burnRate > 1 + burnRateTolerance ? 'over' : 'under';
      return `<rect class="${cssClass}" x="${x.toFixed(1)}" y="${(plotHeightPx - barHeightPx).toFixed(1)}" width="${(barWidthPx - 1).toFixed(1)}" height="${barHeightPx.toFixed(1)}"/>`;
    })
    .join('');
  const limitLineY = (plotHeightPx * (1 - 1 / topBurnRate)).toFixed(1);
  return `<svg width="${plotWidthPx}" height="${plotHeightPx}" role="img" aria-label="Burn rate over 6 h, at most ${topBurnRate.toFixed(1)}">${bars}<line x1="0" x2="${plotWidthPx}" y1="${limitLineY}" y2="${limitLineY}"/></svg>`;
};

const formatRow = (row: BurnServiceRow, nowUnixMs: number): string => {
  const cells = [
    escapeHtml(row.service),
    String(row.targetPercent),
    String(row.latencyMs),
    ...row.windows.map(({ burnRate }) => burnRate.toFixed(2)),
    row.budgetLeftPercent.toFixed(1),
    row.objectiveSpentPercent.toFixed(2),
    formatPlot(row, nowUnixMs),
  ];
  return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
};

const pageStyle = `body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}
th,td{padding:.3em .8em;text-align:right;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}
.over{fill:#c33}.under{fill:#69c}line{stroke:#333;stroke-dasharray:3}`;

/**
 * Formats the report as one self-contained HTML page with a small plot per service.
 *
 * @example
 * writeFileSync('burn.html', formatBurnHtml(summarizeBurn(answer)));
 */
export const formatBurnHtml = (report: BurnReport): string => {
  const headerCells = [
    ...['service', 'target %', 'within ms', 'burn 5 min', 'burn 1 h', 'burn 6 h'],
    ...['left of 6 h %', 'spent of window %', 'burn rate, last 6 h'],
  ];
  const rows = report.services.map((row) => formatRow(row, report.atUnixMs));
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title><style>${pageStyle}</style></head>
<body><h1>Burn report</h1>
<p>${new Date(report.atUnixMs).toISOString()}. ${escapeHtml(describeAnsweredNodes(report))}.</p>
<table><thead><tr>${headerCells.map((cell) => `<th>${cell}</th>`).join('')}</tr></thead>
<tbody>${rows.join('\n')}</tbody></table></body></html>
`;
};
