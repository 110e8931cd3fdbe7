import { texts } from '../../shared/texts.js';
import type { LotValue } from '../fleetTypes.js';

/** About how many bytes an entry takes on its way to a copy. */
export const entrySize = (value: LotValue): number =>
  value.kind === 'result'
    ? texts.size(value.result.text) + 300
    : value.kind === 'lot'
      ? value.body.items.length * 1500
      : 20;
