import { diffConfigurations } from '@sequoiafield/config';
import type { ConfigChange } from '@sequoiafield/store';
import type { MoveIntent } from '@sequoiafield/types';

/**
 * Lists the moves that a change adds or modifies.
 *
 * @example
 * const moves = listChangedMoves(await repository.readChange(before, after));
 */
export const listChangedMoves = ({ before, after }: ConfigChange): readonly MoveIntent[] => {
  const changedTitles = new Set(diffConfigurations(before, after).map(({ section }) => section));
  return [...after.services.values()]
    .flatMap(({ moves }) => moves)
    .filter(({ id }) => changedTitles.has(`move ${id}`));
};
