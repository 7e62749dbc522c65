import { after } from 'node:test';
import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import type { CallOpen, CallResult, MemberAnnouncement } from '@sequoiafield/types';
import { BodyChannel, createTransport, type Transport, type TransportOptions } from '../index.js';

type Receive = (
  open: CallOpen,
  body: AsyncIterable<Uint8Array>,
  signal: AbortSignal,
) => Promise<CallResult>;

const load = { runningCalls: 0, queuedCalls: 0, slotsNow: 10 };

/** Creates an answer with a body. */
export const makeAnswer = (body: AsyncIterable<Uint8Array> | string): CallResult => ({
  kind: 'answer',
  answer: {
    status: 200,
    headers: [],
    body: typeof body === 'string' ? BodyChannel.of(Buffer.from(body)) : body,
    load,
  },
});

/** Reads a body as text; if the body fails, returns its error message instead. */
export const readBody = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  try {
    for await (const chunk of body) chunks.push(chunk);
  } catch (error) {
    return `broken: ${(error as Error).message}`;
  }
  return Buffer.concat(chunks).toString();
};

/** Describes a call result as text. */
export const describeResult = async (result: CallResult): Promise<string> =>
  result.kind === 'refusal'
    ? `${result.refusal.outcome} ${result.refusal.reason}`
    : `answer ${await readBody(result.answer.body)}`;

const startedFixtures = new Set<{ stop(): Promise<void> }>();

// A failed test leaves its fixtures running, which would keep the process from exiting.
after(async () => {
  await Promise.all([...startedFixtures].map((fixture) => fixture.stop()));
});

/** Transport with a tick loop; `executedRequestIds` lists the calls that it ran. */
export class TransportFixture {
  readonly executedRequestIds: string[] = [];

  readonly transport: Transport;

  readonly #loop: TickLoop;

  constructor(
    id: string,
    receive: Receive = async (open) => makeAnswer(`for ${open.requestId}`),
    options: Partial<TransportOptions> = {},
  ) {
    const receiver = {
      receive: (open: CallOpen, body: AsyncIterable<Uint8Array>, signal: AbortSignal) => {
        this.executedRequestIds.push(open.requestId);
        return receive(open, body, signal);
      },
    };
    this.transport = createTransport({
      self: TransportFixture.makeMember(id, 0),
      receiver,
      logger: new SilentLogger(),
      random: new SeededRandom(1),
      ...options,
    });
    this.#loop = new TickLoop(this.transport.systems, (_name, error) => {
      throw error;
    });
  }

  /** Creates the announcement of a node on the loopback interface. */
  static makeMember(id: string, linkPort: number): MemberAnnouncement {
    return {
      id,
      incarnation: 1000,
      address: '127.0.0.1',
      gossipPort: 0,
      linkPort,
      callPort: 0,
      region: 'hellas',
      dataCentre: 'ath-1',
      service: 'settlement',
      backendVersion: 'v1',
    };
  }

  async start(): Promise<this> {
    startedFixtures.add(this);
    await this.transport.start();
    this.#loop.start();
    return this;
  }

  async stop(): Promise<void> {
    startedFixtures.delete(this);
    this.#loop.stop();
    await this.transport.stop();
  }
}
