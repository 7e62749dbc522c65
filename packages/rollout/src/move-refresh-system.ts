import type { System, Tick } from '@sequoiafield/tables';
import type { MoveTable } from './move-table.js';

/**
 * Recomputes shares and phases of the moves each tick; runs before the other systems of the
 * package.
 */
export class MoveRefreshSystem implements System {
  readonly name = 'shares of moves';

  constructor(private readonly moveTable: MoveTable) {}

  run({ nowUnixMs }: Tick): void {
    this.moveTable.refresh(nowUnixMs);
  }
}
