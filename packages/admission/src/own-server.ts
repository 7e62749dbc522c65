/** Backend server beside this node, as it last announced itself. */
export interface OwnServer {
  readonly service: string;
  readonly backendVersion: string;
  readonly isDraining: boolean;
  /** Start time of the backend server; a new value means that it restarted and is cold. */
  readonly startedAtMs: number;
}
