import { logEvents } from '@sequoiafield/logger';

/** One parsed log line of a node. */
export interface LogLine {
  readonly node: string;
  readonly timestamp: string;
  readonly name: string;
  readonly requestId: string | undefined;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that say what a node believed when it decided. */
const beliefEvents: ReadonlySet<string> = new Set(
  [
    logEvents.ordersInForce,
    logEvents.backendServerAnnounced,
    logEvents.backendServerLeaving,
    logEvents.backendServerSilent,
    logEvents.moveStage,
    logEvents.moveTakenBack,
    logEvents.storeUnavailable,
    logEvents.storeAvailable,
    logEvents.nodeStarted,
    logEvents.nodeDraining,
    logEvents.memberDead,
  ].map(({ name }) => name),
);

const ownFields: ReadonlySet<string> = new Set(['node', 'timestamp', 'message', 'level', 'event']);

/**
 * Parses a log line; undefined if it is not one of a node. Text before the first brace is skipped,
 * such as a name that a collector adds.
 */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as Record<string, unknown>;
    if (typeof line.timestamp !== 'string' || typeof line.message !== 'string') return undefined;
    return {
      node: String(line.node ?? ''),
      timestamp: line.timestamp,
      name: line.message,
      requestId: typeof line.requestId === 'string' ? line.requestId : undefined,
      fields: Object.fromEntries(Object.entries(line).filter(([key]) => !ownFields.has(key))),
    };
  } catch {
    // Other programs may write into the same stream.
    return undefined;
  }
};

const formatLine = ({ timestamp: atText, node, name, fields }: LogLine): string => {
  const texts = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
  return `${atText} ${node} ${name} ${texts.join(' ')}`;
};

/** Whether a line is about a request, or about a call that a run of it made and named after it. */
const isAbout = (line: LogLine, requestId: string): boolean =>
  line.requestId === requestId || line.requestId?.startsWith(`${requestId}.`) === true;

/**
 * Lines about one request and the calls within its runs in the order of their times, after what each
 * named node believed last.
 *
 * @example
 * explainRequest('9c41d07be2a35f68', lines).forEach((line) => console.log(line));
 */
export const explainRequest = (requestId: string, lines: readonly LogLine[]): readonly string[] => {
  const sorted = [...lines].sort((left, right) => (left.timestamp < right.timestamp ? -1 : 1));
  const own = sorted.filter((line) => isAbout(line, requestId));
  const [first] = own;
  if (!first) return [];
  const nodes = new Set(
    own.flatMap(({ node, fields }) => [node, ...String(fields.memberIds ?? '').split(' ')]),
  );
  const beliefs = new Map<string, LogLine>();
  for (const line of sorted) {
    const isBefore = line.timestamp <= first.timestamp && nodes.has(line.node);
    if (!isBefore || !beliefEvents.has(line.name)) continue;
    if (line.name === logEvents.nodeStarted.name) {
      // A new process knows nothing of what the former one believed.
      for (const key of [...beliefs.keys()]) {
        if (key.startsWith(`${line.node} `)) beliefs.delete(key);
      }
    }
    beliefs.set(`${line.node} ${line.name}`, line);
  }
  return [
    'What the nodes believed:',
    ...[...beliefs.values()].map(formatLine),
    'What they did:',
    ...own.map(formatLine),
  ];
};
