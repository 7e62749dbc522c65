import type { ParentRequest } from './messages.js';

/**
 * Answers the requests of the parent process, and sends it `readyMessage` at once.
 *
 * @example
 * handleParentRequests({ port: 4000 }, async () => undefined);
 */
export const handleParentRequests = (
  readyMessage: unknown,
  handleRequest: (request: ParentRequest) => Promise<unknown>,
): void => {
  process.on('message', (request: ParentRequest) => {
    const { user, system } = process.cpuUsage();
    const answer =
      request.kind === 'usage'
        ? Promise.resolve({ processorUs: user + system })
        : handleRequest(request);
    answer.then(
      (value) => process.send?.({ value }),
      (error: unknown) => process.send?.({ error: String(error) }),
    );
  });
  process.on('disconnect', () => process.exit(0));
  process.send?.({ value: readyMessage });
};
