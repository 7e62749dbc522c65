import type { System, Tick } from '@sequoiafield/tables';
import type { MoveTable } from './move-table.js';

/** Recomputes shares and phases each tick; runs before the other systems of the package. */
export class MoveRefreshSystem implements System {
  readonly name = 'shares of moves';

  constructor(private readonly book: MoveTable) {}

  run({ nowUnixMs }: Tick): void {
    this.book.refresh(nowUnixMs);
  }
}
