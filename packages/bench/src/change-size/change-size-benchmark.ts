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

/** A change of one value, given as a later file of the folder. */
const changes: Readonly<Record<string, (service: string) => string>> = {
  'path of a route': (service) => `[route ${service}-r2]\npath = /${service}/other/*\n`,
  'deadline of a route': (service) => `[route ${service}-r2]\ndeadline_ms = 900\n`,
  'data centre out': () => '[data-centre dc-3]\nstate = out\n',
  'slots of a service': (service) => `[service ${service}]\nslots = 11\n`,
};

const serviceName = (index: number): string => `service-${String(index).padStart(3, '0')}`;

const routeText = (service: string, index: number): string =>
  `[route ${service}-r${index}]\nservice = ${service}\nmethod = POST\n` +
  `path = /${service}/r${index}/*\nidempotent = no\ndeadline_ms = 800\nretry_budget_percent = 10\n`;

const serviceText = (index: number): string => {
  const name = serviceName(index);
  const routes = Array.from({ length: routesPerService }, (_, route) => routeText(name, route));
  return (
    `[service ${name}]\npriority = normal\nstable_version = v1\nslots = 10\n` +
    `connections_max = 130\nfailure_limit_percent = 2\nlatency_limit_ms = 250\n${routes.join('')}`
  );
};

const dataCentreText = (index: number): string =>
  `[data-centre dc-${index}]\nregion = region-${index % 3}\nstate = in\nramp_s = 30\n`;

const baseText = [
  ...Array.from({ length: serviceCount }, (_, index) => serviceText(index)),
  ...Array.from({ length: dataCentreCount }, (_, index) => dataCentreText(index)),
].join('');

const sectionsWith = (change: string): readonly SectionBody[] => {
  const files = [
    { name: '10-base.ini', text: baseText },
    { name: '20-change.ini', text: change },
  ];
  return toSections(parseFolderFiles('folder', files).configuration);
};

const bytesOf = (sections: readonly SectionBody[]): number =>
  sections.reduce((sum, { body }) => sum + Buffer.byteLength(body), 0);

/**
 * Bytes that a node fetches for one change at the target size: the bodies of the changed sections
 * and the manifest's changed entries as JSON, without the framing of the link.
 */
class ChangeSizeBenchmark implements Benchmark {
  readonly name = 'change-size';

  readonly description = 'Bytes that one change moves to each node at 300 services, 1,500 routes';

  run({ seed }: { readonly seed: number }): Promise<BenchmarkReport> {
    const random = new SeededRandom(seed);
    const base = sectionsWith('');
    const baseDigests = new Map(base.map(({ name, digest }) => [name, digest]));
    const rows = Object.entries(changes).map(([kind, textOf]) => {
      const service = serviceName(random.nextInt(serviceCount));
      const changed = sectionsWith(textOf(service)).filter(
        ({ name, digest }) => baseDigests.get(name) !== digest,
      );
      const delta = Object.fromEntries(changed.map(({ name, digest }) => [name, digest]));
      const deltaBytes = Buffer.byteLength(JSON.stringify(delta));
      const shared = changed.filter(({ name }) => name !== service);
      const nodeBytes = bytesOf(shared) + deltaBytes;
      const ownerBytes = bytesOf(changed) + deltaBytes;
      const perS = (ownerBytes * changesPerDay) / secondsPerDay;
      return [kind, changed.length, deltaBytes, nodeBytes, ownerBytes, Math.round(perS)];
    });
    const isService = ({ name }: SectionBody): boolean => name.startsWith('service-');
    const largestOf = (sections: readonly SectionBody[]): number =>
      Math.max(...sections.map((section) => bytesOf([section])));
    const largestSharedBytes = largestOf(base.filter((section) => !isService(section)));
    const worstBytes =
      largestSharedBytes +
      largestOf(base.filter(isService)) +
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
        bodiesBytes: bytesOf(base),
        largestSharedBytes,
        manifestBytes: Buffer.byteLength(buildManifest(1, base).body),
        worstBytes,
        worstBytesPerS: Math.round((worstBytes * changesPerDay) / secondsPerDay),
      },
    });
  }
}

export const changeSizeBenchmark: Benchmark = new ChangeSizeBenchmark();
