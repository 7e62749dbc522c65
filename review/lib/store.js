// Stand-in for the platform's store: ranges, watches, transactions and leases as PROTOCOL.md has them.
import { createServer } from 'node:http';

const historyPollMs = 5;

const readBody = async (request) => {
  let body = '';
  for await (const chunk of request) body += String(chunk);
  return body;
};

const encode = (value) => Buffer.from(JSON.stringify(value)).toString('base64');

export class Store {
  #items = new Map();

  #history = [];

  #revision = 100;

  #leases = 0;

  #sockets = new Set();

  #server = createServer((request, response) => {
    this.#handle(request, response).catch(() => response.destroy());
  });

  async start() {
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  get endpoint() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  /** Writes an entry as the operator does; returns when the store acknowledged it. */
  put(key, value) {
    this.#write(key, encode(value), 0);
    return Date.now();
  }

  read(key) {
    const item = this.#items.get(key);
    return item && JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'));
  }

  stop() {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #write(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#history.push(item);
  }

  #remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#history.push({ key, revision: this.#revision, removed: true });
  }

  async #handle(request, response) {
    const body = await readBody(request);
    const url = new URL(request.url, 'http://store');
    const reply = (status, fields) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(fields));
    };
    const path = url.pathname;
    if (path === '/kv-key') {
      const item = this.#items.get(url.searchParams.get('key'));
      reply(item ? 200 : 404, { ...item, current_rev: this.#revision });
    } else if (path === '/kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      reply(200, { items, more_pages: false, current_rev: this.#revision });
    } else if (path === '/kv-watch') await this.#watch(url, response, reply);
    else if (path === '/kv-txn') this.#transact(JSON.parse(body), reply);
    else if (path === '/kv-lease') {
      this.#leases += 1;
      reply(200, { lease: this.#leases, ttl_s_time: JSON.parse(body).ttl_s_time });
    } else if (path.startsWith('/kv-keep/')) reply(200, { ttl_s_time: 10 });
    else reply(404, {});
  }

  async #watch(url, response, reply) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endsAtMs = Date.now() + Number(url.searchParams.get('wait_ms'));
    while (!response.destroyed) {
      const events = this.#history.filter(
        ({ key, revision }) => key.startsWith(prefix) && revision > after,
      );
      if (events.length > 0 || Date.now() >= endsAtMs) {
        reply(200, { events, current_rev: this.#revision });
        return;
      }
      await new Promise((resolve) => {
        setTimeout(resolve, historyPollMs);
      });
    }
  }

  #transact({ precondition = [], writes = [], deletes = [] }, reply) {
    const isMet = precondition.every(
      ({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) {
      const items = precondition.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 });
      reply(412, { items });
      return;
    }
    if ([...writes.map(({ key }) => key), ...deletes].some((key) => /^(op|servers)\//.test(key))) {
      reply(403, {});
      return;
    }
    for (const { key, value, lease = 0 } of writes) this.#write(key, value, lease);
    for (const key of deletes) this.#remove(key);
    reply(200, { revision: this.#revision });
  }
}
