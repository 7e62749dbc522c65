import { logEvents } from '@sequoiafield/logger';

/** One parsed log line of a node. */
export interface LogLine {
  readonly node: string;
  readonly timestamp: string;
  readonly name: string;
  readonly requestId: string | undefined;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that show which state a node knew when it made a decision. */
const stateEvents: ReadonlySet<string> = new Set(
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

const standardFields: ReadonlySet<string> = new Set([
  'node',
  'timestamp',
  'message',
  'level',
  'event',
]);

/**
 * Parses a log line; returns undefined if no node wrote it. Text before the first brace is skipped,
 * such as a name that a log collector adds.
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
      fields: Object.fromEntries(Object.entries(line).filter(([key]) => !standardFields.has(key))),
    };
  } catch {
    // Other programs may write to the same stream.
    return undefined;
  }
};

const formatLine = ({ timestamp, node, name, fields }: LogLine): string => {
  const fieldTexts = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`);
  return `${timestamp} ${node} ${name} ${fieldTexts.join(' ')}`;
};

/**
 * Whether a line is about a request, or about a call that was made while the request ran; the id of
 * such a call starts with the id of the request.
 */
const isAboutRequest = (line: LogLine, requestId: string): boolean =>
  line.requestId === requestId || line.requestId?.startsWith(`${requestId}.`) === true;

/**
 * Returns the lines about one request and the calls made while it ran, sorted by time. They follow
 * the last known state, at the time of the first of them, of each node that wrote one or is named
 * in one.
 *
 * @example
 * explainRequest('9c41d07be2a35f68', lines).forEach((line) => console.log(line));
 */
export const explainRequest = (requestId: string, lines: readonly LogLine[]): readonly string[] => {
  const sorted = [...lines].sort((left, right) => (left.timestamp < right.timestamp ? -1 : 1));
  const requestLines = sorted.filter((line) => isAboutRequest(line, requestId));
  const [first] = requestLines;
  if (!first) return [];
  const nodes = new Set(
    requestLines.flatMap(({ node, fields }) => [
      node,
      ...String(fields.memberIds ?? '').split(' '),
    ]),
  );
  const stateLines = new Map<string, LogLine>();
  for (const line of sorted) {
    const isBefore = line.timestamp <= first.timestamp && nodes.has(line.node);
    if (!isBefore || !stateEvents.has(line.name)) continue;
    if (line.name === logEvents.nodeStarted.name) {
      // A new process starts without the state that the former one knew.
      for (const key of [...stateLines.keys()]) {
        if (key.startsWith(`${line.node} `)) stateLines.delete(key);
      }
    }
    stateLines.set(`${line.node} ${line.name}`, line);
  }
  return [
    'Last known state of the nodes:',
    ...[...stateLines.values()].map(formatLine),
    'Events of the request:',
    ...requestLines.map(formatLine),
  ];
};
