import { checkAccountKeys } from './check-account-keys.js';
import type { SectionKind } from './folder-schema.js';
import { compareOrigins, formatOrigin, type ConfigProblem } from './problems.js';
import { originOf, type MergedSection } from './folder-merger.js';
import type { TypedSection, TypedSections } from './section-validator.js';
import { isName } from './ini-values.js';

type Move = TypedSection<'move'>;

const createProblem = (
  section: MergedSection,
  key: string,
  found: string,
  expected: string,
): ConfigProblem => {
  const { file, line } = originOf(section, key);
  return { file, line, found, expected };
};

/**
 * Reports references to services that no file defines. It reads the merged text, so that a section
 * with another invalid value is checked too.
 */
const checkServiceReferences = (merged: Iterable<MergedSection>): ConfigProblem[] => {
  const sections = [...merged];
  const defined = new Set(
    sections.filter(({ kind }) => kind === 'service').map(({ name }) => name),
  );
  return sections.flatMap((section) => {
    const service = section.keys.get('service')?.value;
    if (section.kind === 'service' || service === undefined) return [];
    if (!isName(service) || defined.has(service)) return [];
    const found = `service "${service}" of [${section.kind} ${section.name}] is not defined`;
    return [
      createProblem(section, 'service', found, `a [service ${service}] section in some file`),
    ];
  });
};

/** Reports sections that repeat what must be unique, such as the method and path of a route. */
const checkUnique = <K extends SectionKind>(
  sections: readonly TypedSection<K>[],
  key: string,
  describeUniqueValue: (section: TypedSection<K>) => string,
): ConfigProblem[] => {
  const firstByValue = new Map<string, TypedSection<K>>();
  const inFileOrder = [...sections].sort((left, right) =>
    compareOrigins(originOf(left.merged, key), originOf(right.merged, key)),
  );
  return inFileOrder.flatMap((section) => {
    const uniqueValue = describeUniqueValue(section);
    const first = firstByValue.get(uniqueValue);
    if (!first) {
      firstByValue.set(uniqueValue, section);
      return [];
    }
    const { merged } = section;
    const found = `[${merged.kind} ${merged.name}] repeats ${uniqueValue}`;
    const firstOrigin = formatOrigin(originOf(first.merged, key));
    return [
      createProblem(merged, key, found, `it in one section only; ${firstOrigin} has it already`),
    ];
  });
};

const checkSingleMove = ({ merged, name, values }: Move): ConfigProblem[] => {
  const problems: ConfigProblem[] = [];
  if (values.from === values.to) {
    const found = `[move ${name}] has "${values.from}" as from and as to`;
    problems.push(createProblem(merged, 'to', found, 'two different versions'));
  }
  if (values.finish_by <= values.start_at) {
    const found = `finish_by of [move ${name}] is not after its start_at`;
    problems.push(createProblem(merged, 'finish_by', found, 'a later time than start_at'));
  }
  return problems;
};

/**
 * Checks two consecutive moves of a service: they must not overlap, and the later one must start
 * from a version with which the earlier one can end.
 */
const checkMovePair = (earlier: Move, later: Move): ConfigProblem[] => {
  const problems: ConfigProblem[] = [];
  const { from, to, finish_by: finishBy } = earlier.values;
  if (later.values.start_at < finishBy) {
    problems.push(
      createProblem(
        later.merged,
        'start_at',
        `[move ${later.name}] overlaps [move ${earlier.name}] of service "${later.values.service}"`,
        `a start_at not before ${new Date(finishBy).toISOString()}`,
      ),
    );
  }
  if (later.values.from !== from && later.values.from !== to) {
    problems.push(
      createProblem(
        later.merged,
        'from',
        `from of [move ${later.name}] is "${later.values.from}"`,
        `"${to}" or "${from}", with which [move ${earlier.name}] can end`,
      ),
    );
  }
  return problems;
};

const checkMovesOfService = (
  service: TypedSection<'service'> | undefined,
  moves: readonly Move[],
): ConfigProblem[] => {
  const sortedMoves = [...moves].sort(
    (left, right) => left.values.start_at - right.values.start_at,
  );
  const problems = sortedMoves.flatMap(checkSingleMove);
  sortedMoves.slice(1).forEach((later, index) => {
    const earlier = sortedMoves[index];
    if (earlier) problems.push(...checkMovePair(earlier, later));
  });
  const first = sortedMoves[0];
  if (!service || !first) return problems;
  const stableVersion = service.values.stable_version;
  const versions = new Set(moves.flatMap(({ values }) => [values.from, values.to]));
  if (!versions.has(stableVersion)) {
    problems.push(
      createProblem(
        first.merged,
        'from',
        `no move of service "${service.name}" names its stable_version "${stableVersion}"`,
        `from = ${stableVersion}, or to = ${stableVersion} once the move is done`,
      ),
    );
  }
  return problems;
};

const checkMoves = (sections: TypedSections): ConfigProblem[] => {
  const byService = new Map<string, Move[]>();
  sections.move.forEach((move) => {
    byService.set(move.values.service, [...(byService.get(move.values.service) ?? []), move]);
  });
  return [...byService].flatMap(([name, moves]) =>
    checkMovesOfService(
      sections.service.find((service) => service.name === name),
      moves,
    ),
  );
};

/**
 * Checks across sections: references, repeated routes and objectives, moves, and keys of accounts.
 *
 * @example
 * const problems = checkAcrossSections(typedSections, mergedSections.values());
 */
export const checkAcrossSections = (
  sections: TypedSections,
  merged: Iterable<MergedSection>,
): ConfigProblem[] => [
  ...checkServiceReferences(merged),
  ...checkUnique(sections.route, 'path', ({ values }) => `${values.method} ${values.path}`),
  ...checkUnique(
    sections.objective,
    'service',
    ({ values }) => `the objective of service "${values.service}"`,
  ),
  ...checkMoves(sections),
  ...checkAccountKeys(sections.account),
];
