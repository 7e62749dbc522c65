import { createConnection, type Socket } from 'node:net';

/** One answer as its caller received it. */
export interface ReceivedAnswer {
  readonly status: string;
  readonly body: string;
  /** Whether the answer says that nothing follows on its connection. */
  readonly isLast: boolean;
}

/** Caller with one connection that sends requests without waiting for answers. */
export class PipeliningCaller {
  readonly socket: Socket;

  isClosed = false;

  #received = Buffer.alloc(0);

  constructor(port: number) {
    this.socket = createConnection(port, '127.0.0.1');
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => {
      this.isClosed = true;
    });
    this.socket.on('data', (bytes) => {
      this.#received = Buffer.concat([this.#received, bytes]);
    });
  }

  /** Sends requests such as `GET /1` in one write, each with the given header lines. */
  send(requests: readonly string[], headerLines = ''): void {
    const heads = requests.map((line) => `${line} HTTP/1.1\r\nhost: a\r\n${headerLines}\r\n`);
    this.socket.write(heads.join(''));
  }

  /** Complete answers in the order in which they were received; throws if bytes are mixed up. */
  get answers(): ReceivedAnswer[] {
    const answers: ReceivedAnswer[] = [];
    let rest = this.#received.toString('latin1');
    for (;;) {
      const headEnd = rest.indexOf('\r\n\r\n');
      if (headEnd < 0) return answers;
      const head = rest.slice(0, headEnd).toLowerCase();
      const [, status = ''] = /^http\/1\.1 (\S+) /.exec(head) ?? [];
      const [, length = ''] = /content-length: (\d+)/.exec(head) ?? [];
      if (status === '' || length === '') throw new Error(`Not the head of an answer: ${head}`);
      const end = headEnd + 4 + Number(length);
      if (rest.length < end) return answers;
      const isLast = head.includes('connection: close');
      answers.push({ status, body: rest.slice(headEnd + 4, end), isLast });
      rest = rest.slice(end);
    }
  }
}
