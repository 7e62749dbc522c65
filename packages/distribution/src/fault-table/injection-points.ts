import { LinkRequestKind, RegisterKind } from '@sequoiafield/types';
import { makeSectionBodies, type TestFleet } from '../test-fleet/test-fleet.js';

/** A step of the distribution of a version, of a join or of a drain at which a fault begins. */
export interface InjectionPoint {
  readonly name: string;
  /** Triggers the step and, when it is reached, calls `reached` with the number of the victim. */
  trigger(fleet: TestFleet, reached: (victim: number) => void): Promise<void> | void;
}

const numberOf = (id: string): number => Number(id.slice(id.lastIndexOf('-') + 1));

const accept = (fleet: TestFleet): void => fleet.store.accept(2, makeSectionBodies(2));

const onRequest = (kind: LinkRequestKind): InjectionPoint['trigger'] => {
  const trigger: InjectionPoint['trigger'] = (fleet, reached) => {
    const { network } = fleet;
    network.onRequest = (fromId, sentKind) => {
      if (sentKind === kind) reached(numberOf(fromId));
    };
    accept(fleet);
  };
  return trigger;
};

/** All injection points of the fault table. */
export const injectionPoints: readonly InjectionPoint[] = [
  {
    name: 'head seen',
    trigger: (fleet, reached) => {
      const { store } = fleet;
      store.onHeadRead = (head) => {
        if (head?.configVersion === 2) reached(1);
      };
      accept(fleet);
    },
  },
  {
    name: 'push',
    trigger: (fleet, reached) => {
      fleet.nodes.forEach((node, index) => {
        node.membership.registers.subscribe(RegisterKind.Head, (entry, fromId) => {
          if (entry.rank === 2 && fromId !== node.self.id) reached(index + 1);
        });
      });
      accept(fleet);
    },
  },
  { name: 'fetch manifest', trigger: onRequest(LinkRequestKind.ManifestDelta) },
  { name: 'fetch sections', trigger: onRequest(LinkRequestKind.Sections) },
  {
    name: 'swap',
    trigger: (fleet, reached) => {
      const watched = fleet;
      watched.onSnapshotActivated = (index, snapshot) => {
        if (snapshot.configVersion === 2) reached(index);
      };
      accept(fleet);
    },
  },
  {
    name: 'join',
    trigger: async (fleet, reached) => {
      const joining = fleet.nodes.length;
      const { network } = fleet;
      network.onRequest = (fromId, kind) => {
        if (kind === LinkRequestKind.MemberDigests && numberOf(fromId) === joining) {
          reached(joining);
        }
      };
      accept(fleet);
      fleet.node(joining).kill();
      await fleet.clock.advance(10);
      await fleet.startNode(joining);
    },
  },
  {
    name: 'drain',
    trigger: (fleet, reached) => {
      accept(fleet);
      const draining = fleet.nodes.length;
      fleet.drained.add(fleet.node(draining).self.id);
      fleet.node(draining).membership.announceDraining();
      reached(1);
    },
  },
];
