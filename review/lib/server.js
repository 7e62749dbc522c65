// Stand-in for a backend server as PROTOCOL.md describes it: slots, a short queue, seals, request ids,
// target instances, heartbeats, a drain and a cold start.
import { createServer, request } from 'node:http';
import { delay } from './node-process.js';

const heartbeatIntervalMs = 1500;
const ackTimeoutMs = 1000;
const queueLength = 36;
const idleTimeoutS = 10;

let instanceCount = 0;
const nextInstanceId = () => {
  instanceCount += 1;
  return `i-${process.pid.toString(16)}${instanceCount.toString(16).padStart(4, '0')}`;
};

const readBody = async (incoming) => {
  const chunks = [];
  for await (const chunk of incoming) chunks.push(chunk);
  return Buffer.concat(chunks);
};

export class Server {
  /** Requests that this server began to run, or rejected. */
  runs = [];

  state = 'ready';

  coldUntilMs = 0;

  sequence = 0;

  workMs = 20;

  /** Status of the answer of a request, by the server's version. */
  statusOf = () => 200;

  #running = 0;

  #waiting = [];

  #sockets = new Set();

  #timer;

  #server;

  constructor({ service, version = 'v1', zone, port, slots = 9, coldS = 3 }) {
    Object.assign(this, { service, version, zone, port, slots, coldS });
  }

  /** Starts an incarnation; `id` is that of a former one if the server keeps it. */
  async start({ id = nextInstanceId(), isCold = false } = {}) {
    Object.assign(this, { id, born: Date.now(), sequence: 0, state: 'ready' });
    this.coldUntilMs = isCold ? Date.now() + this.coldS * 1000 : 0;
    this.#running = 0;
    this.#waiting = [];
    this.#server = createServer((incoming, response) => {
      this.#handle(incoming, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = idleTimeoutS * 1000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.port, '127.0.0.1', resolve);
    });
  }

  /** Ends the process of the server at once: connections are reset and nothing listens. */
  stop() {
    clearInterval(this.#timer);
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#server?.close();
  }

  get coldRemainingS() {
    return Math.max(0, this.coldUntilMs - Date.now()) / 1000;
  }

  /** Sends a heartbeat now, unless it is the first one and late, and one each interval. */
  announceTo(port, { isFirstSent = true } = {}) {
    this.control = port;
    clearInterval(this.#timer);
    this.#timer = setInterval(() => this.sendHeartbeat(), heartbeatIntervalMs);
    if (isFirstSent) this.sendHeartbeat();
  }

  stopAnnouncing() {
    clearInterval(this.#timer);
  }

  /** Content of the next heartbeat. */
  createHeartbeat() {
    this.sequence += 1;
    return {
      service: this.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_s: this.coldRemainingS,
      sequence: this.sequence,
      born: this.born,
    };
  }

  /** Sends a heartbeat; resolves with the status of its answer, 0 if there is none in a second. */
  sendHeartbeat(heartbeat = this.createHeartbeat(), port = this.control, id = this.id) {
    return this.#announce('instances.heartbeat', heartbeat, port, id);
  }

  deregister() {
    this.stopAnnouncing();
    return this.#announce('instances.deregister', { born: this.born }, this.control, this.id);
  }

  #announce(call, body, port, id) {
    return new Promise((resolve) => {
      const outgoing = request(
        {
          host: '127.0.0.1',
          port,
          method: 'POST',
          path: `/rpc?call=${call}&of=${id}`,
          headers: { 'content-type': 'application/json' },
          agent: false,
          timeout: ackTimeoutMs,
        },
        (answer) => {
          answer.resume();
          resolve(answer.statusCode);
        },
      );
      outgoing.on('timeout', () => outgoing.destroy());
      outgoing.on('error', () => resolve(0));
      outgoing.end(JSON.stringify(body));
    });
  }

  async #handle(incoming, response) {
    const header = (name) => String(incoming.headers[`x-sequoiafield-${name}`] ?? '');
    const run = {
      atMs: Date.now(),
      requestId: header('request-id'),
      callerService: header('caller-service'),
      method: incoming.method,
      path: incoming.url,
      serverId: this.id,
      version: this.version,
      outcome: 'running',
    };
    const body = await readBody(incoming);
    run.bodyBytes = body.length;
    run.atMs = Date.now();
    this.runs.push(run);
    const target = header('target-instance');
    const reject = (status, headers, outcome) => {
      run.outcome = outcome;
      response.writeHead(status, { 'x-sequoiafield-request-id': run.requestId, ...headers });
      response.end();
    };
    if (target !== '' && target !== this.id) {
      reject(421, { 'x-sequoiafield-instance-id': this.id }, 'misdirected');
      return;
    }
    if (this.#running >= this.slots) {
      if (this.#waiting.length >= queueLength) {
        reject(503, { 'x-sequoiafield-not-executed': '1' }, 'shed');
        return;
      }
      await new Promise((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#running += 1;
    await delay(this.workMs * (this.coldRemainingS > 0 ? 2 : 1));
    this.#running -= 1;
    this.#waiting.shift()?.();
    const status = this.statusOf(run);
    run.outcome = response.destroyed ? 'answer lost' : `answered ${status}`;
    const text = `${this.service} ${this.version} ${run.path}`;
    response.writeHead(status, {
      'x-sequoiafield-request-id': run.requestId,
      'x-sequoiafield-server-seal': `seal.${this.id}.${run.requestId}`,
      'keep-alive': `timeout=${idleTimeoutS}`,
      'content-length': String(text.length),
    });
    response.end(text);
  }
}
