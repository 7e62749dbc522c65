import type { MemberAnnouncement, Seed } from '@sequoiafield/types';

/** Settings of one node process, passed as JSON in its first argument. */
export interface BenchmarkNodeSettings {
  readonly id: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly storeUrl: string;
  readonly seeds: readonly Pick<Seed, 'address' | 'gossipPort'>[];
  readonly randomSeed: number;
}

/** Figures of one node process since its start. */
export interface NodeFigures {
  readonly gossipSentBytes: number;
  readonly gossipReceivedBytes: number;
  readonly linkBytes: number;
  readonly storeCalls: number;
  readonly cpuUs: number;
  readonly residentBytes: number;
  /** Delay of the event loop since the last report. */
  readonly loopDelayP99Ms: number;
  readonly loopDelayMaxMs: number;
  readonly fleetSize: number;
  readonly memberRows: number;
  readonly configVersion: number;
}

/** Message from a node process to the benchmark. */
export type NodeMessage =
  | { readonly kind: 'started'; readonly self: MemberAnnouncement }
  | { readonly kind: 'in-force'; readonly configVersion: number; readonly atUnixMs: number }
  | { readonly kind: 'figures'; readonly figures: NodeFigures };

/** Request of the benchmark to a node process. */
export interface NodeRequest {
  readonly kind: 'report';
}
