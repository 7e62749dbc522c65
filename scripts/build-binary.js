// Builds dist/sequoiafield, one executable file, as a Node.js single executable application.
import { spawnSync } from 'node:child_process';
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';

const root = new URL('..', import.meta.url).pathname;
const dist = `${root}dist`;
const sentinelFuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

const run = (command, args) => {
  const result = spawnSync(command, args, { stdio: 'inherit', cwd: root });
  if (result.status !== 0) process.exit(result.status ?? 1);
};

run(process.execPath, [`${root}scripts/build.js`]);
writeFileSync(
  `${dist}/sea-config.json`,
  JSON.stringify({
    main: `${dist}/sequoiafield.cjs`,
    output: `${dist}/sea-prep.blob`,
    disableExperimentalSEAWarning: true,
  }),
);
run(process.execPath, ['--experimental-sea-config', `${dist}/sea-config.json`]);
copyFileSync(process.execPath, `${dist}/sequoiafield`);
chmodSync(`${dist}/sequoiafield`, 0o755);
const postject = createRequire(import.meta.url).resolve('postject/dist/cli.js');
run(process.execPath, [
  postject,
  `${dist}/sequoiafield`,
  'NODE_SEA_BLOB',
  `${dist}/sea-prep.blob`,
  '--sentinel-fuse',
  sentinelFuse,
]);
