import type { RetryLimit } from '@sequoiafield/routing';
import type { CapacityMode } from '@sequoiafield/types';

/** IP address and port. */
export interface Endpoint {
  readonly address: string;
  readonly port: number;
}

/** Settings of usage reporting. */
export interface UsageSettings {
  /** Receives the reports. */
  readonly endpoint: Endpoint;
  readonly windowMs: number;
  /** Time after the end of a window within which its report is due. */
  readonly lateMs: number;
  /** Lease of the node that reports. */
  readonly leaseMs: number;
}

/** Settings of a node of the mesh. */
export interface MeshNodeSettings {
  readonly id: string;
  readonly address: string;
  readonly region: string;
  readonly dataCentre: string;
  /** UDP port for gossip and TCP port for links. */
  readonly peerPort: number;
  readonly metricsPort: number;
  /** Accepts requests of clients and of the own backend server. */
  readonly ingress: Endpoint;
  /** Answers whether this node can serve. */
  readonly readiness: Endpoint;
  /** Receives the announcements of the own backend server. */
  readonly announcements: Endpoint;
  readonly backendServer: Endpoint;
  /** Service of the backend server, and of the requests that begin at this node. */
  readonly service: string;
  readonly heartbeatIntervalMs: number;
  /** How the capacity of the backend server is known; undefined if the configuration decides. */
  readonly capacityMode?: CapacityMode | undefined;
  readonly store: Endpoint;
  readonly retryLimit: RetryLimit;
  /** Memory that the process of the node may use; undefined if the settings do not name it. */
  readonly memoryBytes?: number;
  /** Time between the stop signal and the forced termination of the process. */
  readonly graceMs: number;
  /** Undefined if the section is left out or a value of it is empty; usage is not reported then. */
  readonly usage?: UsageSettings | undefined;
}
