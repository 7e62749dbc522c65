import { mkdirSync, writeFileSync } from 'node:fs';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { BenchmarkReport } from './benchmark.js';
import { benchmarkLoaders } from './benchmark-loaders.js';

const printTable = (report: BenchmarkReport): void => {
  const lines = [report.columns, ...report.rows].map((cells) => cells.map(String));
  const widths = report.columns.map((_, column) =>
    Math.max(...lines.map((cells) => cells[column]?.length ?? 0)),
  );
  lines.forEach((cells) => {
    console.log(cells.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  '));
  });
};

const options = await yargs(hideBin(process.argv))
  .usage('npm run bench -- NAME [--seed N] [--baseline] [--quick]')
  .option('seed', { type: 'number', default: 1 })
  .option('baseline', { type: 'boolean', default: false })
  .option('quick', { type: 'boolean', default: false })
  .demandCommand(
    1,
    `Missing benchmark name; the names are ${Object.keys(benchmarkLoaders).join(', ')}`,
  )
  .strictOptions()
  .parse();

const name = String(options._[0]);
const loadBenchmark = benchmarkLoaders[name];
if (!loadBenchmark) {
  console.error(
    `Benchmark "${name}" does not exist; the names are ${Object.keys(benchmarkLoaders).join(', ')}`,
  );
  process.exit(2);
}
const benchmark = await loadBenchmark();
const report = await benchmark.run({
  seed: options.seed,
  hasBaseline: options.baseline,
  isQuick: options.quick,
});
printTable(report);
const resultLine = JSON.stringify({ benchmark: name, seed: options.seed, ...report.figures });
mkdirSync('bench-results', { recursive: true });
writeFileSync(`bench-results/${name}.json`, `${resultLine}\n`);
console.log(resultLine);
process.exit(0);
