/** Finds the exchange that a frame belongs to. */
export interface ExchangeMatcher {
  match<E>(id: number, entries: ReadonlyMap<number, E>): E | undefined;
}

/** Matches by the sequence of the exchange only; a frame of an ended exchange matches none. */
export class IdMatcher implements ExchangeMatcher {
  match<E>(id: number, entries: ReadonlyMap<number, E>): E | undefined {
    return entries.get(id);
  }
}
