import type { TestFleet } from '../test-fleet/test-fleet.js';

/** A fault that begins at an injection point and ends after a time. */
export interface FleetFault {
  readonly name: string;
  /** Time between `begin` and `end`. */
  readonly durationMs: number;
  /** Clock step during the fault; long faults use larger steps. */
  readonly stepMs: number;
  /** Begins the fault; `victim` is the node number that the injection point passed to `reached`. */
  begin(fleet: TestFleet, victim: number): void;
  end(fleet: TestFleet, victim: number): Promise<void> | void;
}

const hourMs = 3_600_000;

const shortTiming = { durationMs: 6000, stepMs: 20 };

const nextNode = (fleet: TestFleet, victim: number): number => (victim % fleet.nodes.length) + 1;

const clearNetworkFaults = (fleet: TestFleet): void => {
  Object.assign(fleet.network.faults, { delayMs: 0, jitterMs: 0, duplicateShare: 0, lossShare: 0 });
};

/** Returns the nodes that a mass kill stops: the victim and every third node counted from it. */
const massKillNodes = (fleet: TestFleet, victim: number): readonly number[] =>
  fleet.nodes.map((_, index) => index + 1).filter((index) => (index - victim) % 3 === 0);

/** All faults of the fault table. */
export const fleetFaults: readonly FleetFault[] = [
  {
    name: 'process kill',
    ...shortTiming,
    begin: (fleet, victim) => fleet.node(victim).kill(),
    end: async (fleet, victim) => {
      await fleet.startNode(victim);
    },
  },
  {
    name: 'mass kill',
    ...shortTiming,
    begin: (fleet, victim) => {
      for (const index of massKillNodes(fleet, victim)) fleet.node(index).kill();
    },
    end: async (fleet, victim) => {
      for (const index of massKillNodes(fleet, victim)) await fleet.startNode(index);
    },
  },
  {
    name: 'freeze and thaw',
    ...shortTiming,
    begin: (fleet, victim) => fleet.node(victim).freeze(),
    end: (fleet, victim) => fleet.node(victim).thaw(),
  },
  {
    name: 'cut',
    ...shortTiming,
    begin: (fleet, victim) => {
      const peer = fleet.node(nextNode(fleet, victim));
      fleet.partition([fleet.node(victim)], [peer]);
    },
    end: (fleet) => fleet.network.healAll(),
  },
  {
    name: 'one-way cut',
    ...shortTiming,
    begin: (fleet, victim) => {
      const peer = fleet.node(nextNode(fleet, victim));
      fleet.network.cut(fleet.node(victim).self.address, peer.self.address, true);
    },
    end: (fleet) => fleet.network.healAll(),
  },
  {
    name: 'delay',
    ...shortTiming,
    begin: ({ network }) => {
      Object.assign(network.faults, { delayMs: 120 });
    },
    end: clearNetworkFaults,
  },
  {
    name: 'reorder',
    ...shortTiming,
    begin: ({ network }) => {
      Object.assign(network.faults, { jitterMs: 250 });
    },
    end: clearNetworkFaults,
  },
  {
    name: 'duplicate',
    ...shortTiming,
    begin: ({ network }) => {
      Object.assign(network.faults, { duplicateShare: 0.5 });
    },
    end: clearNetworkFaults,
  },
  {
    name: 'store down',
    ...shortTiming,
    begin: ({ store }) => {
      Object.assign(store, { isDown: true });
    },
    end: ({ store }) => {
      Object.assign(store, { isDown: false });
    },
  },
  {
    name: 'store slow',
    ...shortTiming,
    begin: ({ store }) => {
      Object.assign(store, { delayMs: 4000 });
    },
    end: ({ store }) => {
      Object.assign(store, { delayMs: 5 });
    },
  },
  {
    name: 'region partition, 1 h',
    durationMs: hourMs,
    stepMs: 100,
    begin: (fleet) => {
      const isInRegionB = (index: number): boolean =>
        fleet.node(index + 1).self.region === 'region-b';
      fleet.partition(
        fleet.nodes.filter((_, index) => isInRegionB(index)),
        fleet.nodes.filter((_, index) => !isInRegionB(index)),
      );
    },
    end: (fleet) => fleet.network.healAll(),
  },
];
