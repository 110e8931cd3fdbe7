import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { ScaleSize } from './scaleSize.js';

/** Draws costs against the size, one small plot for each cost, as SVG. */
export const capacityPlot = async (
  sizes: ReadonlyArray<ScaleSize>,
  titles: Readonly<Record<string, string>>,
): Promise<string> => {
  const values = sizes.flatMap(({ n, repeats, once }) =>
    [...repeats, once].flatMap((costs) =>
      Object.entries(costs)
        .filter(([name, value]) => titles[name] !== undefined && Number.isFinite(value))
        .map(([name, value]) => ({ n, cost: titles[name]!, value })),
    ),
  );
  const x = { field: 'n', type: 'quantitative', title: 'nodes' } as const;
  const y = { field: 'value', type: 'quantitative', title: null, scale: { zero: true } } as const;
  const spec: TopLevelSpec = {
    data: { values },
    facet: { field: 'cost', type: 'nominal', title: null, sort: Object.values(titles), header: { labelFontSize: 11 } },
    columns: 3,
    spec: {
      width: 200,
      height: 120,
      layer: [
        { mark: { type: 'point', size: 24 }, encoding: { x, y } },
        { mark: { type: 'line', strokeWidth: 1 }, encoding: { x, y: { ...y, aggregate: 'mean' } } },
      ],
    },
    resolve: { scale: { y: 'independent' } },
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
};
