/** The backend server beside this node, as it announced itself. */
export interface OwnServer {
  readonly service: string;
  readonly backendVersion: string;
  readonly isDraining: boolean;
  /** Changes when the backend server was started again; it is cold then. */
  readonly startedAtMs: number;
}
