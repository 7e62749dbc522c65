import { BackendCallReceiver, createCallProxy, UndiciBackendClient } from '@sequoiafield/calls';
import { SilentLogger } from '@sequoiafield/logger';
import { SeededRandom, TickLoop } from '@sequoiafield/tables';
import { createTransport } from '@sequoiafield/transport';
import { handleParentRequests } from './handle-parent-requests.js';
import { FixedDecisions, createMemberRow } from './fixed-decisions.js';

/**
 * Whether each non-idempotent call gets a connection of its own, by the policy that is the third
 * argument of the process; without that argument, the default of the backend client applies.
 */
const usesFreshConnectionsByPolicy: Partial<Record<string, boolean>> = {
  'keep-alive': false,
  fresh: true,
};
const [id = 'node', origin = '', policy = ''] = process.argv.slice(2);
const usesFreshConnections = usesFreshConnectionsByPolicy[policy];
const self = createMemberRow({ id, linkPort: 0, callPort: 0 });
const decisions = new FixedDecisions();
const logger = new SilentLogger();
const random = new SeededRandom(1);
const receiver = new BackendCallReceiver({
  self,
  rollout: decisions,
  admission: decisions,
  evidence: decisions,
  backend: new UndiciBackendClient({ origin, connectionsMax: 130, usesFreshConnections }),
});
const transport = createTransport({ self, receiver, logger, random });
const calls = createCallProxy({
  self,
  snapshots: decisions,
  router: decisions,
  rollout: decisions,
  evidence: decisions,
  receiver,
  sender: transport.sender,
  sequence: transport.attemptSequence,
  random,
  logger,
});
const start = async (): Promise<void> => {
  await transport.start();
  await calls.start();
  new TickLoop([...transport.systems, ...calls.systems], (name, error) =>
    console.error(`System ${name} failed`, error),
  ).start();
  const ports = { id, linkPort: transport.linkPort, callPort: calls.callPort };
  handleParentRequests(ports, async (request) => {
    if (request.kind === 'members')
      decisions.setMember(createMemberRow(request.members[0] ?? ports));
  });
};

start().catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
