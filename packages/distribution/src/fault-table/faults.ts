import type { TestFleet } from '../test-fleet/test-fleet.js';

/** A fault that begins at a step and may end by itself. */
export interface FleetFault {
  readonly name: string;
  /** How long it lasts before `end`. */
  readonly durationMs: number;
  /** Clock step while it lasts; long faults take coarse steps. */
  readonly stepMs: number;
  /** `victim` is the number of the node at which the step happened. */
  begin(fleet: TestFleet, victim: number): void;
  end(fleet: TestFleet, victim: number): Promise<void> | void;
}

const hourMs = 3_600_000;

const short = { durationMs: 6000, stepMs: 20 };

const other = (fleet: TestFleet, victim: number): number => (victim % fleet.nodes.length) + 1;

const clearNetworkFaults = (fleet: TestFleet): void => {
  Object.assign(fleet.network.faults, { delayMs: 0, jitterMs: 0, duplicateShare: 0, lossShare: 0 });
};

/** Nodes that die together in a mass kill: the victim and every third one. */
const killedTogether = (fleet: TestFleet, victim: number): readonly number[] =>
  fleet.nodes.map((_, index) => index + 1).filter((index) => (index - victim) % 3 === 0);

/** Every fault of the table. */
export const fleetFaults: readonly FleetFault[] = [
  {
    name: 'process kill',
    ...short,
    begin: (fleet, victim) => fleet.node(victim).kill(),
    end: async (fleet, victim) => {
      await fleet.startNode(victim);
    },
  },
  {
    name: 'mass kill',
    ...short,
    begin: (fleet, victim) => {
      for (const index of killedTogether(fleet, victim)) fleet.node(index).kill();
    },
    end: async (fleet, victim) => {
      for (const index of killedTogether(fleet, victim)) await fleet.startNode(index);
    },
  },
  {
    name: 'freeze and thaw',
    ...short,
    begin: (fleet, victim) => fleet.node(victim).freeze(),
    end: (fleet, victim) => fleet.node(victim).thaw(),
  },
  {
    name: 'cut',
    ...short,
    begin: (fleet, victim) => {
      const peer = fleet.node(other(fleet, victim));
      fleet.partition([fleet.node(victim)], [peer]);
    },
    end: (fleet) => fleet.network.healAll(),
  },
  {
    name: 'one-way cut',
    ...short,
    begin: (fleet, victim) => {
      const peer = fleet.node(other(fleet, victim));
      fleet.network.cut(fleet.node(victim).self.address, peer.self.address, true);
    },
    end: (fleet) => fleet.network.healAll(),
  },
  {
    name: 'delay',
    ...short,
    begin: ({ network }) => {
      Object.assign(network.faults, { delayMs: 120 });
    },
    end: clearNetworkFaults,
  },
  {
    name: 'reorder',
    ...short,
    begin: ({ network }) => {
      Object.assign(network.faults, { jitterMs: 250 });
    },
    end: clearNetworkFaults,
  },
  {
    name: 'duplicate',
    ...short,
    begin: ({ network }) => {
      Object.assign(network.faults, { duplicateShare: 0.5 });
    },
    end: clearNetworkFaults,
  },
  {
    name: 'store down',
    ...short,
    begin: ({ store }) => {
      Object.assign(store, { isDown: true });
    },
    end: ({ store }) => {
      Object.assign(store, { isDown: false });
    },
  },
  {
    name: 'store slow',
    ...short,
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
      const isB = (index: number): boolean => fleet.node(index + 1).self.region === 'region-b';
      fleet.partition(
        fleet.nodes.filter((_, index) => isB(index)),
        fleet.nodes.filter((_, index) => !isB(index)),
      );
    },
    end: (fleet) => fleet.network.healAll(),
  },
];
