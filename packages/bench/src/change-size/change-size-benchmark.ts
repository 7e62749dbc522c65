import {
  buildManifest,
  parseFolderFiles,
  toSections,
  type SectionBody,
} from '@sequoiafield/config';
import { SeededRandom } from '@sequoiafield/tables';
import type { Benchmark, BenchmarkReport } from '../benchmark.js';

const serviceCount = 300;
const routesPerService = 5;
const dataCentreCount = 7;
const changesPerDay = 4400;
const secondsPerDay = 86_400;

/** Changes of one value each, as the text of a later file in the configuration folder. */
const changeTexts: Readonly<Record<string, (service: string) => string>> = {
  'path of a route': (service) => `[route ${service}-r2]\npath = /${service}/other/*\n`,
  'deadline of a route': (service) => `[route ${service}-r2]\ndeadline_ms = 900\n`,
  'data centre out': () => '[data-centre dc-3]\nstate = out\n',
  'slots of a service': (service) => `[service ${service}]\nslots = 11\n`,
};

const createServiceName = (index: number): string => `service-${String(index).padStart(3, '0')}`;

const createRouteText = (service: string, index: number): string =>
  `[route ${service}-r${index}]\nservice = ${service}\nmethod = POST\n` +
  `path = /${service}/r${index}/*\nidempotent = no\ndeadline_ms = 800\nretry_budget_percent = 10\n`;

const createServiceText = (index: number): string => {
  const name = createServiceName(index);
  const routes = Array.from({ length: routesPerService }, (_, route) =>
    createRouteText(name, route),
  );
  return (
    `[service ${name}]\npriority = normal\nstable_version = v1\nslots = 10\n` +
    `connections_max = 130\nfailure_limit_percent = 2\nlatency_limit_ms = 250\n${routes.join('')}`
  );
};

const createDataCentreText = (index: number): string =>
  `[data-centre dc-${index}]\nregion = region-${index % 3}\nstate = in\nramp_s = 30\n`;

const baseText = [
  ...Array.from({ length: serviceCount }, (_, index) => createServiceText(index)),
  ...Array.from({ length: dataCentreCount }, (_, index) => createDataCentreText(index)),
].join('');

const createSections = (change: string): readonly SectionBody[] => {
  const files = [
    { name: '10-base.ini', text: baseText },
    { name: '20-change.ini', text: change },
  ];
  return toSections(parseFolderFiles('folder', files).configuration);
};

const countBodyBytes = (sections: readonly SectionBody[]): number =>
  sections.reduce((sum, { body }) => sum + Buffer.byteLength(body), 0);

/**
 * Benchmark `change-size`: bytes that a node fetches for one change at the target size. They are
 * the bodies of the changed sections and the manifest's changed entries as JSON, without the
 * framing of the link.
 */
class ChangeSizeBenchmark implements Benchmark {
  readonly name = 'change-size';

  readonly description =
    'Bytes that each node fetches for one change at 300 services and 1,500 routes';

  run({ seed }: { readonly seed: number }): Promise<BenchmarkReport> {
    const random = new SeededRandom(seed);
    const base = createSections('');
    const baseDigests = new Map(base.map(({ name, digest }) => [name, digest]));
    const rows = Object.entries(changeTexts).map(([kind, createText]) => {
      const service = createServiceName(random.nextInt(serviceCount));
      const changedSections = createSections(createText(service)).filter(
        ({ name, digest }) => baseDigests.get(name) !== digest,
      );
      const manifestDelta = Object.fromEntries(
        changedSections.map(({ name, digest }) => [name, digest]),
      );
      const deltaBytes = Buffer.byteLength(JSON.stringify(manifestDelta));
      const sharedSections = changedSections.filter(({ name }) => name !== service);
      const nodeBytes = countBodyBytes(sharedSections) + deltaBytes;
      const ownerBytes = countBodyBytes(changedSections) + deltaBytes;
      const bytesPerS = (ownerBytes * changesPerDay) / secondsPerDay;
      return [
        kind,
        changedSections.length,
        deltaBytes,
        nodeBytes,
        ownerBytes,
        Math.round(bytesPerS),
      ];
    });
    const isService = ({ name }: SectionBody): boolean => name.startsWith('service-');
    const largestBodyBytes = (sections: readonly SectionBody[]): number =>
      Math.max(...sections.map((section) => countBodyBytes([section])));
    const largestSharedBytes = largestBodyBytes(base.filter((section) => !isService(section)));
    const worstBytes =
      largestSharedBytes +
      largestBodyBytes(base.filter(isService)) +
      Math.max(...rows.map((row) => Number(row[2])));
    return Promise.resolve({
      name: this.name,
      columns: [
        'change',
        'sections',
        'delta B',
        'B a node',
        'B with the service',
        'B/s at 4,400 a day',
      ],
      rows,
      figures: {
        sections: base.length,
        bodiesBytes: countBodyBytes(base),
        largestSharedBytes,
        manifestBytes: Buffer.byteLength(buildManifest(1, base).body),
        worstBytes,
        worstBytesPerS: Math.round((worstBytes * changesPerDay) / secondsPerDay),
      },
    });
  }
}

export const changeSizeBenchmark: Benchmark = new ChangeSizeBenchmark();
