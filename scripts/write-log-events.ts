// Writes docs/log-events.md from the log events of packages/logger/src/log-events.ts.
import { writeFileSync } from 'node:fs';
import { logEvents } from '@sequoiafield/logger';

const rows = Object.values(logEvents)
  .toSorted((left, right) => left.number - right.number)
  .map((event) => `| ${event.number} | ${event.level} | \`${event.name}\` | ${event.meaning} |`);
const page = [
  '# Which events do the logs hold?',
  '',
  'Generated from `packages/logger/src/log-events.ts` by `npm run docs:events`; do not edit.',
  '',
  '| number | level | name | meaning |',
  '| --- | --- | --- | --- |',
  ...rows,
  '',
].join('\n');
writeFileSync(new URL('../docs/log-events.md', import.meta.url), page);
