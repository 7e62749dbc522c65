import type { SectionKind } from './folder-schema.js';
import { compareOrigins, formatOrigin, type ConfigProblem } from './problems.js';
import { originOf, type MergedSection } from './folder-merger.js';
import type { TypedSection, TypedSections } from './section-validator.js';
import { isName } from './ini-values.js';

type Move = TypedSection<'move'>;

const problemAt = (
  section: MergedSection,
  key: string,
  found: string,
  expected: string,
): ConfigProblem => {
  const { file, line } = originOf(section, key);
  return { file, line, found, expected };
};

/**
 * Refuses references to services that no file defines. It reads the merged text, so that a section
 * with another wrong value is checked too.
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
    return [problemAt(section, 'service', found, `a [service ${service}] section in some file`)];
  });
};

/** Refuses two sections that claim the same thing, such as one method and path. */
const checkUnique = <K extends SectionKind>(
  sections: readonly TypedSection<K>[],
  atKey: string,
  describe: (section: TypedSection<K>) => string,
): ConfigProblem[] => {
  const firstByClaim = new Map<string, TypedSection<K>>();
  const inFileOrder = [...sections].sort((left, right) =>
    compareOrigins(originOf(left.merged, atKey), originOf(right.merged, atKey)),
  );
  return inFileOrder.flatMap((section) => {
    const claim = describe(section);
    const first = firstByClaim.get(claim);
    if (!first) {
      firstByClaim.set(claim, section);
      return [];
    }
    const { merged } = section;
    const found = `[${merged.kind} ${merged.name}] repeats ${claim}`;
    const place = formatOrigin(originOf(first.merged, atKey));
    return [
      problemAt(merged, atKey, found, `no other section with it, but ${place} has it already`),
    ];
  });
};

const checkMoveAlone = ({ merged, name, values }: Move): ConfigProblem[] => {
  const problems: ConfigProblem[] = [];
  if (values.from === values.to) {
    const found = `[move ${name}] goes from "${values.from}" to itself`;
    problems.push(problemAt(merged, 'to', found, 'two different versions'));
  }
  if (values.finish_by <= values.start_at) {
    const found = `finish_by of [move ${name}] is not after its start_at`;
    problems.push(problemAt(merged, 'finish_by', found, 'a later time than start_at'));
  }
  return problems;
};

/** Two moves in the order of their starts: no overlap, and the later starts where one can end. */
const checkMovePair = (earlier: Move, later: Move): ConfigProblem[] => {
  const problems: ConfigProblem[] = [];
  const { from, to, finish_by: finishBy } = earlier.values;
  if (later.values.start_at < finishBy) {
    problems.push(
      problemAt(
        later.merged,
        'start_at',
        `[move ${later.name}] overlaps [move ${earlier.name}] of service "${later.values.service}"`,
        `a start_at not before ${new Date(finishBy).toISOString()}`,
      ),
    );
  }
  if (later.values.from !== from && later.values.from !== to) {
    problems.push(
      problemAt(
        later.merged,
        'from',
        `from of [move ${later.name}] is "${later.values.from}"`,
        `"${to}" or "${from}", with which [move ${earlier.name}] ends`,
      ),
    );
  }
  return problems;
};

const checkMovesOfService = (
  service: TypedSection<'service'> | undefined,
  moves: readonly Move[],
): ConfigProblem[] => {
  const ordered = [...moves].sort((left, right) => left.values.start_at - right.values.start_at);
  const problems = ordered.flatMap(checkMoveAlone);
  ordered.slice(1).forEach((later, index) => {
    const earlier = ordered[index];
    if (earlier) problems.push(...checkMovePair(earlier, later));
  });
  const first = ordered[0];
  if (!service || !first) return problems;
  const stable = service.values.stable_version;
  const versions = new Set(moves.flatMap(({ values }) => [values.from, values.to]));
  if (!versions.has(stable)) {
    problems.push(
      problemAt(
        first.merged,
        'from',
        `no move of service "${service.name}" names its stable_version "${stable}"`,
        `from = ${stable}, or to = ${stable} once the move is done`,
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
 * Checks across sections: references, repeated routes and objectives, and moves.
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
];
