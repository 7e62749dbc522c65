// Client on the machine of a node: sends requests with ids of their own on kept connections.
import { Agent, request } from 'node:http';

let requestCount = 0;

export class Client {
  sent = [];

  #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  #timers = new Set();

  constructor(port, host = 'till.example') {
    Object.assign(this, { port, host });
  }

  /** Sends a request; resolves with its record when it has ended. */
  send({ method = 'GET', path, body, remainingMs = 600 }) {
    requestCount += 1;
    const record = { id: `r-${requestCount}`, method, path, atMs: Date.now(), status: 'waiting' };
    this.sent.push(record);
    const headers = {
      host: this.host,
      'x-sequoiafield-request-id': record.id,
      'x-sequoiafield-deadline-remaining': String(remainingMs),
      ...(body && { 'content-length': String(body.length) }),
    };
    return new Promise((resolve) => {
      const end = (status) => {
        if (record.status !== 'waiting') return;
        record.status = status;
        record.tookMs = Date.now() - record.atMs;
        resolve(record);
      };
      const outgoing = request(
        { host: '127.0.0.1', port: this.port, method, path, headers, agent: this.#agent },
        (answer) => {
          let text = '';
          answer.on('data', (chunk) => {
            text += String(chunk);
          });
          answer.on('end', () => {
            record.seal = answer.headers['x-sequoiafield-server-seal'];
            record.text = text;
            end(answer.statusCode);
          });
          answer.on('error', () => end('cut'));
        },
      );
      outgoing.on('error', (error) => end(`closed ${error.code}`));
      outgoing.end(body);
    });
  }

  /** Sends a request `perS` times a second until `stop`. */
  sendSteadily(perS, createRequest) {
    const startedAtMs = performance.now();
    let count = 0;
    const timer = setInterval(() => {
      while (count < ((performance.now() - startedAtMs) * perS) / 1000) {
        count += 1;
        this.send(createRequest(count));
      }
    }, 5);
    this.#timers.add(timer);
    return () => clearInterval(timer);
  }

  stop() {
    for (const timer of this.#timers) clearInterval(timer);
    this.#agent.destroy();
  }
}
