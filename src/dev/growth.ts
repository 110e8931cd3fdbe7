/** How a cost grows with the size. */
export type Growth = {
  readonly law: 'O(1)' | 'O(log n)' | 'O(n)' | 'O(n log n)' | 'O(n^2)' | 'worse than O(n^2)';
  /** The cost is about `base + slope * f(n)`, with the root mean square of what is left over. */
  readonly base: number;
  readonly slope: number;
  readonly leftOver: number;
};

type Point = { readonly n: number; readonly cost: number };
const laws = [
  ['O(1)', () => 0],
  ['O(log n)', Math.log2],
  ['O(n)', (n: number) => n],
  ['O(n log n)', (n: number) => n * Math.log2(n)],
  ['O(n^2)', (n: number) => n * n],
  ['worse than O(n^2)', (n: number) => n ** 3],
] as const;
/** A further term has to take away this much of what the simpler law left over. */
const gain = 0.5;
const flatShare = 0.1;

const fitted = (points: ReadonlyArray<Point>, f: (n: number) => number): Omit<Growth, 'law'> => {
  const mean = (of: (point: Point) => number): number => points.reduce((sum, p) => sum + of(p), 0) / points.length;
  const [x, y] = [mean(({ n }) => f(n)), mean(({ cost }) => cost)];
  const spread = mean(({ n }) => (f(n) - x) ** 2);
  const slope = spread === 0 ? 0 : mean(({ n, cost }) => (f(n) - x) * (cost - y)) / spread;
  const base = y - slope * x;
  return { base, slope, leftOver: Math.sqrt(mean(({ n, cost }) => (cost - base - slope * f(n)) ** 2)) };
};

/** The simplest law that fits nearly as well as the best; a cost that falls or hardly moves is O(1). */
export const growthOf = (points: ReadonlyArray<Point>): Growth => {
  const fits = laws.map(([law, f]) => ({ law, ...fitted(points, f) })).filter(({ slope }) => slope >= 0);
  const flat = { law: 'O(1)' as const, ...fitted(points, () => 0) };
  if (fits.length === 0 || flat.leftOver <= flatShare * Math.abs(flat.base)) return flat;
  let chosen: Growth = flat;
  for (const fit of fits) if (fit.leftOver < chosen.leftOver * gain) chosen = fit;
  return chosen;
};
