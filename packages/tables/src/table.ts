/**
 * Table of entities: rows keyed by id, read by the request path and changed by systems.
 *
 * @example
 * const members = new Table<MemberRow>('members');
 * members.set(row.id, row);
 * for (const member of members.rows()) probe(member);
 */
export class Table<Row> {
  readonly #rows = new Map<string, Row>();

  #revision = 0;

  constructor(readonly name: string) {}

  /** Number of changes so far; systems skip work while it is unchanged. */
  get revision(): number {
    return this.#revision;
  }

  get size(): number {
    return this.#rows.size;
  }

  get(id: string): Row | undefined {
    return this.#rows.get(id);
  }

  has(id: string): boolean {
    return this.#rows.has(id);
  }

  set(id: string, row: Row): void {
    this.#rows.set(id, row);
    this.#revision += 1;
  }

  delete(id: string): boolean {
    const isDeleted = this.#rows.delete(id);
    if (isDeleted) this.#revision += 1;
    return isDeleted;
  }

  /** Increments the revision after a row was changed in place. */
  touch(): void {
    this.#revision += 1;
  }

  ids(): IterableIterator<string> {
    return this.#rows.keys();
  }

  rows(): IterableIterator<Row> {
    return this.#rows.values();
  }
}
