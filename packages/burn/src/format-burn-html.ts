import { plotPointMinutes, type BurnReport, type BurnServiceRow } from './burn-types.js';
import { describeAnsweredNodes } from './format-burn-table.js';

const plotWidth = 240;
const plotHeight = 40;
const plotSpanMs = 6 * 3_600_000;
const pointMs = plotPointMinutes * 60_000;
/** Burn rate at the top of a plot unless the service burned faster. */
const plotTopMin = 2;

/** Keeps a rate of exactly 1 from counting as over because of rounding. */
const roundingMargin = 1e-9;

const escapes: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
  "'": '&#39;',
};

const escape = (text: string): string =>
  text.replace(/[&<>"']/g, (letter) => escapes[letter] ?? '');

/** Bars of the burn rate over the last 6 hours, with a line at a rate of 1. */
const plot = (row: BurnServiceRow, nowUnixMs: number): string => {
  const endUnixMs = (Math.floor(nowUnixMs / pointMs) + 1) * pointMs;
  const top = Math.max(plotTopMin, ...row.points.map(({ burnRate }) => burnRate));
  const barWidth = (plotWidth * pointMs) / plotSpanMs;
  const bars = row.points
    .map(({ atUnixMs, burnRate }) => {
      const x = Math.max(0, plotWidth * (1 - (endUnixMs - atUnixMs) / plotSpanMs));
      const height = (plotHeight * burnRate) / top;
      const kind = burnRate > 1 + roundingMargin ? 'over' : 'under';
      return `<rect class="${kind}" x="${x.toFixed(1)}" y="${(plotHeight - height).toFixed(1)}" width="${(barWidth - 1).toFixed(1)}" height="${height.toFixed(1)}"/>`;
    })
    .join('');
  const lineY = (plotHeight * (1 - 1 / top)).toFixed(1);
  return `<svg width="${plotWidth}" height="${plotHeight}" role="img" aria-label="Burn rate over 6 h, at most ${top.toFixed(1)}">${bars}<line x1="0" x2="${plotWidth}" y1="${lineY}" y2="${lineY}"/></svg>`;
};

const formatRow = (row: BurnServiceRow, nowUnixMs: number): string => {
  const cells = [
    escape(row.service),
    String(row.targetPercent),
    String(row.latencyMs),
    ...row.windows.map(({ burnRate }) => burnRate.toFixed(2)),
    row.budgetLeftPercent.toFixed(1),
    row.objectiveSpentPercent.toFixed(2),
    plot(row, nowUnixMs),
  ];
  return `<tr>${cells.map((cell) => `<td>${cell}</td>`).join('')}</tr>`;
};

const style = `body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}
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
  const head = [
    ...['service', 'target %', 'within ms', 'burn 5 min', 'burn 1 h', 'burn 6 h'],
    ...['left of 6 h %', 'spent of window %', 'burn rate, last 6 h'],
  ];
  const rows = report.services.map((row) => formatRow(row, report.atUnixMs));
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Burn report</title><style>${style}</style></head>
<body><h1>Burn report</h1>
<p>${new Date(report.atUnixMs).toISOString()}. ${escape(describeAnsweredNodes(report))}.</p>
<table><thead><tr>${head.map((cell) => `<th>${cell}</th>`).join('')}</tr></thead>
<tbody>${rows.join('\n')}</tbody></table></body></html>
`;
};
