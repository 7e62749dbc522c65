import assert from 'node:assert/strict';
import { test } from 'node:test';
import { sampleMember, SampleOrders } from '@sequoiafield/test-kit';
import {
  MoveOutcome,
  RegisterKind,
  type MemberRow,
  type MemberView,
  type MoveOrder,
  type MoveRecord,
  type RegisterEntry,
} from '@sequoiafield/types';
import { completedStep, noOrderRank, registerRankOf } from './move-stages.js';
import { VersionPolicy } from './version-policy.js';

const service = 's';

const stageRegister = (rank: number, body: unknown): RegisterEntry => ({
  kind: RegisterKind.Stage,
  key: service,
  rank,
  body,
});

/** Servers and registers of one fleet, in which policies start with and without memory. */
class VersionFleet {
  readonly orders = new SampleOrders();

  register: RegisterEntry | undefined;

  #rows: readonly MemberRow[] = [];

  #revision = 0;

  /** Sets the versions of the servers, one for each. */
  setServers(...versions: readonly string[]): void {
    this.#revision += 1;
    this.#rows = versions.map((backendVersion, index) =>
      sampleMember(`n${index}`, { service, backendVersion }),
    );
  }

  order(toVersion: string, revision: number): MoveOrder {
    const move = { service, toVersion, durationMs: 12_000, revision };
    this.orders.change({ moves: new Map([[service, move]]) });
    return move;
  }

  record(record: Omit<MoveRecord, 'service'>): void {
    this.orders.change({ moveRecords: new Map([[service, { service, ...record }]]) });
  }

  createPolicy(): VersionPolicy {
    const members: MemberView = {
      revision: () => this.#revision,
      selfId: 'n0',
      fleetSize: () => this.#rows.length,
      get: () => undefined,
      all: () => this.#rows,
      ofService: () => this.#rows,
    };
    const registers = {
      publish: () => false,
      read: () => this.register,
      subscribe: () => undefined,
    };
    return new VersionPolicy({ orders: this.orders, members, registers });
  }
}

/** Version that gets the calls besides a move, and the versions that a server's node admits. */
const decisionsOf = (policy: VersionPolicy): unknown => ({
  chosen: policy.choose(service, 1),
  allowed: ['v1', 'v2', 'v3'].filter((version) => policy.isAllowed(service, version)),
});

/** A fleet whose second version was rolled back before a third was ordered. */
const createFleetAfterRollback = (): { fleet: VersionFleet; policy: VersionPolicy } => {
  const fleet = new VersionFleet();
  fleet.setServers('v1', 'v1');
  const policy = fleet.createPolicy();
  decisionsOf(policy);
  fleet.setServers('v1', 'v1', 'v2', 'v2');
  fleet.order('v2', 10);
  decisionsOf(policy);
  const outcome = MoveOutcome.RolledBack;
  fleet.record({ toVersion: 'v2', outcome, fromVersion: 'v1', revision: 12 });
  decisionsOf(policy);
  return { fleet, policy };
};

test('a rolled-back version with more servers than the established one gets no calls', () => {
  // Guards against the version with the most servers, which may be the one that was rolled back.
  const { fleet, policy } = createFleetAfterRollback();
  fleet.setServers('v1', 'v2', 'v2', 'v3', 'v3');
  fleet.order('v3', 20);
  assert.deepEqual(decisionsOf(policy), { chosen: 'v1', allowed: ['v1', 'v3'] });
});

test('a rolled-back version gets no calls although no other is left', () => {
  // Guards against a fallback to a bad version when all old servers are gone.
  const { fleet, policy } = createFleetAfterRollback();
  fleet.setServers('v2', 'v2', 'v3');
  fleet.order('v3', 20);
  assert.deepEqual(decisionsOf(policy), { chosen: 'v1', allowed: ['v1', 'v3'] });
});

test('a node that starts after the next order learns the established version', () => {
  // Guards against a new process that takes the version with the most servers for the old one.
  const { fleet } = createFleetAfterRollback();
  fleet.setServers('v1', 'v2', 'v2', 'v3', 'v3');
  fleet.order('v3', 20);
  const expected = { chosen: 'v1', allowed: ['v1', 'v3'] };
  assert.deepEqual(decisionsOf(fleet.createPolicy()), expected);
  const outcome = MoveOutcome.Running;
  fleet.record({ toVersion: 'v3', outcome, fromVersion: 'v1', revision: 22 });
  assert.deepEqual(decisionsOf(fleet.createPolicy()), expected);
  fleet.orders.change({ moveRecords: new Map() });
  const body = { establishedVersion: 'v1' };
  fleet.register = stageRegister(registerRankOf(20, 0), body);
  assert.deepEqual(decisionsOf(fleet.createPolicy()), expected);
});

test('a fleet that starts anew waits for the established version', () => {
  // Guards against calls to a rolled-back version whose servers come back before the old ones.
  const { fleet } = createFleetAfterRollback();
  fleet.order('v3', 20);
  const outcome = MoveOutcome.Running;
  fleet.record({ toVersion: 'v3', outcome, fromVersion: 'v1', revision: 22 });
  fleet.setServers('v2', 'v2', 'v3');
  const expected = { chosen: 'v1', allowed: ['v1', 'v3'] };
  assert.deepEqual(decisionsOf(fleet.createPolicy()), expected);
});

test('servers that start before their order is received get no calls, however many', () => {
  // Guards against a new version that gets all calls because old servers crashed before its order.
  const fleet = new VersionFleet();
  fleet.setServers('v1', 'v1');
  const policy = fleet.createPolicy();
  decisionsOf(policy);
  fleet.setServers('v1', 'v3', 'v3');
  assert.deepEqual(decisionsOf(policy), { chosen: 'v1', allowed: ['v1'] });
  fleet.register = stageRegister(noOrderRank, { establishedVersion: 'v1' });
  assert.deepEqual(decisionsOf(fleet.createPolicy()), { chosen: 'v1', allowed: ['v1'] });
});

test('a completed version stays established when an old server comes back', () => {
  // Guards against a return to the version before a completed move.
  const fleet = new VersionFleet();
  fleet.setServers('v1', 'v2');
  fleet.order('v2', 10);
  const policy = fleet.createPolicy();
  decisionsOf(policy);
  fleet.record({ toVersion: 'v2', outcome: MoveOutcome.Completed, revision: 12 });
  fleet.setServers('v1', 'v1', 'v2');
  assert.deepEqual(decisionsOf(policy), { chosen: 'v2', allowed: ['v2'] });
  fleet.order('v3', 20);
  fleet.setServers('v1', 'v1', 'v2', 'v3');
  const expected = { chosen: 'v2', allowed: ['v2', 'v3'] };
  assert.deepEqual(decisionsOf(policy), expected);
  assert.deepEqual(decisionsOf(fleet.createPolicy()), expected);
});

test('a completed version gets the calls also where the register names no established version', () => {
  // Guards against a service that refuses all calls after a move that a judge without that field ended.
  const fleet = new VersionFleet();
  fleet.setServers('v1', 'v2');
  fleet.order('v2', 10);
  const outcome = MoveOutcome.Running;
  fleet.record({ toVersion: 'v2', outcome, fromVersion: 'v1', revision: 12 });
  fleet.register = stageRegister(registerRankOf(10, completedStep), null);
  assert.deepEqual(decisionsOf(fleet.createPolicy()), { chosen: 'v2', allowed: ['v2'] });
});

test('a node that learns of the next move before its order sends nothing to a rolled-back version', () => {
  // Guards against a register of a later move that replaces the one that says of the rollback.
  const { fleet } = createFleetAfterRollback();
  const outcome = MoveOutcome.Running;
  fleet.record({ toVersion: 'v2', outcome, fromVersion: 'v1', revision: 12 });
  const body = { establishedVersion: 'v1' };
  fleet.register = stageRegister(registerRankOf(20, 0), body);
  const policy = fleet.createPolicy();
  assert.deepEqual(decisionsOf(policy), { chosen: 'v1', allowed: ['v1'] });
  assert.equal(policy.choose(service, 0), 'v1');
});

test('an order of the established version changes nothing', () => {
  // Guards against a service whose only version gets no calls after a rollback of such an order.
  const fleet = new VersionFleet();
  fleet.setServers('v1', 'v1');
  const policy = fleet.createPolicy();
  decisionsOf(policy);
  fleet.order('v1', 10);
  fleet.record({ toVersion: 'v1', outcome: MoveOutcome.RolledBack, revision: 12 });
  assert.deepEqual(decisionsOf(policy), { chosen: 'v1', allowed: ['v1'] });
});

test('a version that replaced the established one without an order is used', () => {
  // Guards against a service that refuses all calls because its established version is gone for good.
  const fleet = new VersionFleet();
  fleet.setServers('v1', 'v1');
  const policy = fleet.createPolicy();
  decisionsOf(policy);
  fleet.setServers('v2', 'v2');
  assert.deepEqual(decisionsOf(policy), { chosen: 'v2', allowed: ['v2'] });
});
