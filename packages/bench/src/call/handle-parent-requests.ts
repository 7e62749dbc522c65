import type { ParentRequest } from './messages.js';

/**
 * Answers the questions of the parent process and says that this process is ready.
 *
 * @example
 * handleParentRequests({ port: 4000 }, async () => undefined);
 */
export const handleParentRequests = (
  ready: unknown,
  onQuestion: (question: ParentRequest) => Promise<unknown>,
): void => {
  process.on('message', (question: ParentRequest) => {
    const { user, system } = process.cpuUsage();
    const answer =
      question.kind === 'usage'
        ? Promise.resolve({ processorUs: user + system })
        : onQuestion(question);
    answer.then(
      (value) => process.send?.({ value }),
      (error: unknown) => process.send?.({ error: String(error) }),
    );
  });
  process.on('disconnect', () => process.exit(0));
  process.send?.({ value: ready });
};
