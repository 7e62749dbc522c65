import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';

type FaultHandler = (response: ServerResponse, request: IncomingMessage) => void;

/** Faults by request path; every request is recorded as run, except for `/refuse`. */
const faultHandlers: Record<string, FaultHandler> = {
  '/ok': (response) => response.end('done'),
  '/fail': (response) => response.writeHead(500).end('failed'),
  '/refuse': (response) => response.writeHead(503, { 'x-backend-refused': 'not-run' }).end(),
  '/busy': (response) => response.writeHead(503).end('busy'),
  '/pass-on': (response) =>
    response.writeHead(503, { 'x-sequoiafield-outcome': 'not-run' }).end('from upstream'),
  '/drop': (response) => response.socket?.destroy(),
  '/cut': (response) => {
    response.writeHead(200, { 'content-length': '10' });
    response.write('half', () => response.socket?.destroy());
  },
  '/cut-chunked': (response) => {
    response.write('half', () => response.socket?.destroy());
  },
  '/no-length': (response) => {
    response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
  },
  '/hang': () => undefined,
};

/** Path whose answers are held until `release` is called. */
const heldPath = '/slow';

/**
 * Fake backend server with a fault for each path; `runs` lists the ids of the requests that it ran.
 */
export class FaultyBackend {
  readonly runs: string[] = [];

  readonly #heldResponses: ServerResponse[] = [];

  /** Requests whose connection was closed before their answer was sent. */
  cancelled = 0;

  readonly listener: RequestListener = (request, response) => {
    const path = request.url ?? '/';
    const id = String(request.headers['x-sequoiafield-request-id']);
    request.resume();
    request.on('end', () => {
      if (path !== '/refuse') this.runs.push(id);
      if (path === heldPath) this.#heldResponses.push(response);
      else faultHandlers[path]?.(response, request);
    });
    response.on('close', () => {
      if (!response.writableFinished) this.cancelled += 1;
    });
  };

  /** Answers the held requests. */
  release(): void {
    this.#heldResponses.splice(0).forEach((response) => response.end('done'));
  }

  /** Returns how often a request ran. */
  runsOf(requestId: string): number {
    return this.runs.filter((id) => id === requestId).length;
  }
}
