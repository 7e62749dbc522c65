import {
  MoveOutcome,
  RegisterKind,
  type MoveOrder,
  type MoveRecord,
  type OrdersView,
  type RegisterGossip,
} from '@sequoiafield/types';
import { orderRevisionOf } from './move-stages.js';

/** Versions of a service that are remembered because a move to them did not complete. */
const unprovenVersionsMax = 16;

/** Body of the register of a move: what a node that did not see the moves before has to know. */
export interface StageRegisterBody {
  /** Version that the service runs besides the move. */
  readonly establishedVersion: string;
}

/** Whether a record holds the outcome of an order, and not of an earlier one. */
export const isRecordOf = (record: MoveRecord, order: MoveOrder): boolean =>
  record.toVersion === order.toVersion && record.revision > order.revision;

/** Reads the established version from the body of a register; undefined if it names none. */
const readEstablishedVersion = (body: unknown): string | undefined => {
  const { establishedVersion } = (body ?? {}) as Partial<StageRegisterBody>;
  return typeof establishedVersion === 'string' && establishedVersion !== ''
    ? establishedVersion
    : undefined;
};

/** Dependencies of `EstablishedVersions`. */
export interface EstablishedVersionsDependencies {
  readonly orders: OrdersView;
  readonly registers: RegisterGossip;
}

/**
 * Tracks which version of each service is established: the one of its last completed move, or else the
 * one that it started with, however many servers it has now. A version that a move names is unproven
 * until the move completes.
 *
 * @example
 * established.trackOrder(order, MoveOutcome.RolledBack);
 * established.of('settlement');
 */
export class EstablishedVersions {
  readonly #observed = new Map<string, string>();

  readonly #unproven = new Map<string, Set<string>>();

  constructor(private readonly dependencies: EstablishedVersionsDependencies) {}

  /** Returns the established version by the registers, the store or own observation, in this order. */
  of(service: string): string | undefined {
    return this.#announced(service) ?? this.#observed.get(service);
  }

  /** Whether a move to the version has not completed, by own observation or by the last record. */
  isUnproven(service: string, version: string): boolean {
    const record = this.dependencies.orders.current().moveRecords.get(service);
    const isRecorded = record?.toVersion === version && record.outcome !== MoveOutcome.Completed;
    return isRecorded || (this.#unproven.get(service)?.has(version) ?? false);
  }

  /** Records the version that serves alone. */
  observe(service: string, version: string): void {
    this.#observed.set(service, version);
  }

  /** Records an order and its outcome; an order of the established version changes nothing. */
  trackOrder({ service, toVersion }: MoveOrder, outcome: MoveOutcome): void {
    const unproven = this.#unproven.get(service) ?? new Set();
    this.#unproven.set(service, unproven);
    if (outcome === MoveOutcome.Completed) {
      unproven.delete(toVersion);
      this.#observed.set(service, toVersion);
      return;
    }
    const established = this.of(service);
    if (toVersion === established || unproven.has(toVersion)) return;
    unproven.add(toVersion);
    const [oldest] = unproven;
    if (unproven.size > unprovenVersionsMax) unproven.delete(oldest as string);
  }

  /** Reads the register of the last move and its record, either of which may be missing or older. */
  #announced(service: string): string | undefined {
    const { orders, registers } = this.dependencies;
    const record = orders.current().moveRecords.get(service);
    const register = registers.read(RegisterKind.Stage, service);
    const registered = readEstablishedVersion(register?.body);
    if (!record) return registered;
    const recorded =
      record.outcome === MoveOutcome.Completed ? record.toVersion : record.fromVersion;
    const isRegisterLater = register && orderRevisionOf(register.rank) > record.revision;
    // A register shows that a move completed before its record does.
    const showsCompletion = registered === record.toVersion;
    if (isRegisterLater || showsCompletion) return registered ?? recorded;
    return recorded ?? registered;
  }
}
