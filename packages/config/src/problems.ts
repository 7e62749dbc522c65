import { ConfigError } from '@sequoiafield/errors';

/** One reason why a configuration folder or settings are rejected. */
export interface ConfigProblem {
  /** File name, or the source of a value without a file, such as `environment`. */
  readonly file: string;
  /** Line in the file, from 1; 0 if the value has no line. */
  readonly line: number;
  readonly found: string;
  readonly expected: string;
}

/** Position of a value in a file. */
export interface Origin {
  readonly file: string;
  readonly line: number;
}

/**
 * Formats an origin as `file:line`, or as the file alone if there is no line.
 *
 * @example
 * formatOrigin({ file: '10-base.ini', line: 3 }); // '10-base.ini:3'
 */
export const formatOrigin = ({ file, line }: Origin): string =>
  line > 0 ? `${file}:${line}` : file;

/**
 * Formats a problem as one line with file, line, what was found and what was expected.
 *
 * @example
 * formatProblem({ file: 'a.ini', line: 3, found: 'slots is "x"', expected: 'a whole number' });
 * // 'a.ini:3: slots is "x"; expected a whole number'
 */
export const formatProblem = (problem: ConfigProblem): string =>
  `${formatOrigin(problem)}: ${problem.found}; expected ${problem.expected}`;

/** A configuration folder or settings are rejected; `problems` lists every reason found. */
export const ConfigRejectedError = ConfigError.subclass('ConfigRejectedError', {
  props: { problems: [] as readonly ConfigProblem[] },
});

/** A section, manifest or record from a peer or the store is invalid. */
export const ConfigDataError = ConfigError.subclass('ConfigDataError');

/**
 * Compares origins by file name, then by line.
 *
 * @example
 * problems.sort(compareOrigins);
 */
export const compareOrigins = (left: Origin, right: Origin): number => {
  if (left.file !== right.file) return left.file < right.file ? -1 : 1;
  return left.line - right.line;
};

/**
 * Builds the error for a list of problems, sorted by file and line.
 *
 * @example
 * if (problems.length > 0) throw createRejectedError('configuration folder conf', problems);
 */
export const createRejectedError = (
  subject: string,
  problems: readonly ConfigProblem[],
): InstanceType<typeof ConfigRejectedError> => {
  const sorted = [...problems].sort(compareOrigins);
  const lines = sorted.map(formatProblem);
  return new ConfigRejectedError([`Rejected ${subject}`, ...lines].join('\n'), {
    props: { problems: sorted },
  });
};
