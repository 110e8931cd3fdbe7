/** Batches past their due time come after all others, the latest last. */
const pastDue = 1e6;

/** Orders batches by the time that is left until they are due, milliseconds: the smallest comes first. */
export const batchUrgency = (leftMs: number): number => (leftMs > 0 ? leftMs : pastDue - leftMs);
