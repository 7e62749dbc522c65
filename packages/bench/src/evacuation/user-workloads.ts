import { Priority } from '@sequoiafield/types';

/** Service of a user with its load. */
export interface ServiceWorkload {
  readonly name: string;
  readonly priority: Priority;
  readonly isIdempotent: boolean;
  /** Data centre of each upstream. */
  readonly upstreams: readonly string[];
  /** Warm service time of one call. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
}

/** Sizes of one user. */
export interface UserWorkload {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** The data centre that leaves and comes back. */
  readonly evacuatedDataCentre: string;
  /** One-way time between two data centres. */
  readonly interDataCentreDelayMs: number;
  readonly services: readonly ServiceWorkload[];
}

/** Calls that one upstream runs at a time. */
export const slotsPerServer = 10;
/** Offered load as a part of what all upstreams can do. */
export const offeredLoadShare = 0.5;

/** Both users with the sizes of the design page; service times are assumptions. */
export const userWorkloads: readonly UserWorkload[] = [
  {
    name: 'kerasma',
    dataCentres: ['ath-1', 'ath-2', 'ath-3', 'ath-4'],
    evacuatedDataCentre: 'ath-2',
    interDataCentreDelayMs: 1,
    services: [
      {
        name: 'tab-view',
        priority: Priority.Normal,
        isIdempotent: true,
        upstreams: ['ath-1', 'ath-2', 'ath-3', 'ath-4', 'ath-1', 'ath-2'],
        serviceMs: 20,
        deadlineMs: 300,
      },
      {
        name: 'rounds',
        priority: Priority.High,
        isIdempotent: false,
        upstreams: ['ath-1', 'ath-2', 'ath-3', 'ath-4'],
        serviceMs: 40,
        deadlineMs: 500,
      },
      {
        name: 'settlement',
        priority: Priority.Critical,
        isIdempotent: false,
        upstreams: ['ath-1', 'ath-2', 'ath-3', 'ath-4'],
        serviceMs: 50,
        deadlineMs: 500,
      },
    ],
  },
  {
    name: 'kolsyra',
    dataCentres: ['got-1', 'got-2', 'got-3'],
    evacuatedDataCentre: 'got-2',
    interDataCentreDelayMs: 0.9,
    services: [
      {
        name: 'lager',
        priority: Priority.Normal,
        isIdempotent: true,
        upstreams: ['got-1', 'got-2', 'got-3', 'got-1'],
        serviceMs: 20,
        deadlineMs: 300,
      },
      {
        name: 'produktion',
        priority: Priority.Critical,
        isIdempotent: false,
        upstreams: ['got-1', 'got-2', 'got-3'],
        serviceMs: 40,
        deadlineMs: 500,
      },
      {
        name: 'utkorning',
        priority: Priority.High,
        isIdempotent: false,
        upstreams: ['got-1', 'got-2', 'got-3'],
        serviceMs: 50,
        deadlineMs: 500,
      },
    ],
  },
];
