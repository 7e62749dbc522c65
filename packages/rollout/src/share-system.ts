import type { System, Tick } from '@sequoiafield/tables';
import type { MoveBook } from './move-book.js';

/** Recomputes shares and phases each tick; runs before the other systems of the package. */
export class ShareSystem implements System {
  readonly name = 'shares of moves';

  constructor(private readonly book: MoveBook) {}

  run({ nowUnixMs }: Tick): void {
    this.book.refresh(nowUnixMs);
  }
}
