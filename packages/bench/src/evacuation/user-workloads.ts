import { Priority } from '@sequoiafield/types';

/** Service of a user with its backend servers and timing. */
export interface ServiceWorkload {
  readonly name: string;
  readonly priority: Priority;
  readonly isIdempotent: boolean;
  /** Data centre of each backend server. */
  readonly serverDataCentres: readonly string[];
  /** Warm service time of one call. */
  readonly serviceMs: number;
  readonly deadlineMs: number;
}

/** Data centres and services of one user. */
export interface UserWorkload {
  readonly name: string;
  readonly dataCentres: readonly string[];
  /** Data centre that is evacuated and restored. */
  readonly evacuatedDataCentre: string;
  /** One-way delay between two data centres. */
  readonly interDataCentreDelayMs: number;
  readonly services: readonly ServiceWorkload[];
}

/** Calls that one backend server runs at a time. */
export const slotsPerServer = 10;
/** Offered load as a fraction of the capacity of all backend servers. */
export const offeredLoadShare = 0.5;

/** Both users with the sizes of the design page. */
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
        serverDataCentres: ['ath-1', 'ath-2', 'ath-3', 'ath-4', 'ath-1', 'ath-2'],
        serviceMs: 20,
        deadlineMs: 300,
      },
      {
        name: 'rounds',
        priority: Priority.High,
        isIdempotent: false,
        serverDataCentres: ['ath-1', 'ath-2', 'ath-3', 'ath-4'],
        serviceMs: 40,
        deadlineMs: 500,
      },
      {
        name: 'settlement',
        priority: Priority.Critical,
        isIdempotent: false,
        serverDataCentres: ['ath-1', 'ath-2', 'ath-3', 'ath-4'],
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
        serverDataCentres: ['got-1', 'got-2', 'got-3', 'got-1'],
        serviceMs: 20,
        deadlineMs: 300,
      },
      {
        name: 'produktion',
        priority: Priority.Critical,
        isIdempotent: false,
        serverDataCentres: ['got-1', 'got-2', 'got-3'],
        serviceMs: 40,
        deadlineMs: 500,
      },
      {
        name: 'utkorning',
        priority: Priority.High,
        isIdempotent: false,
        serverDataCentres: ['got-1', 'got-2', 'got-3'],
        serviceMs: 50,
        deadlineMs: 500,
      },
    ],
  },
];
