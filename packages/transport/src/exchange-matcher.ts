/** Finds what a frame belongs to. */
export interface ExchangeMatcher {
  match<E>(id: number, entries: ReadonlyMap<number, E>): E | undefined;
}

/** Matches by the attempt's sequence alone; frames of attempts that are over match nothing. */
export class IdMatcher implements ExchangeMatcher {
  match<E>(id: number, entries: ReadonlyMap<number, E>): E | undefined {
    return entries.get(id);
  }
}
