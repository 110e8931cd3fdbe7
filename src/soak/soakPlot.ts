import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import type { SoakResult } from './soakRun.js';

/** Draws the requests of a run, served, slow and failed in each second, with marks where trouble struck, as SVG. */
export const soakPlot = async ({ seen, history }: SoakResult, slowMs: number): Promise<string> => {
  const requests = seen.flatMap((each) => {
    if (each.kind !== 'asked') return [];
    const served = each.at - each.sentAt > slowMs ? 'late' : 'served';
    return [{ second: Math.floor(each.sentAt / 1000), outcome: each.status === 200 ? served : 'failed' }];
  });
  const marks = history.map((line) => ({
    second: Number.parseFloat(line),
    trouble: line.slice(line.indexOf(' ') + 1),
  }));
  const x = { field: 'second', type: 'quantitative', title: 'seconds' } as const;
  const spec: TopLevelSpec = {
    width: 900,
    height: 260,
    layer: [
      {
        data: { values: requests },
        mark: { type: 'area' },
        encoding: {
          x,
          y: { aggregate: 'count', type: 'quantitative', title: 'requests a second' },
          color: {
            field: 'outcome',
            type: 'nominal',
            scale: { domain: ['served', 'late', 'failed'], range: ['#9ecae1', '#fdae6b', '#de2d26'] },
          },
        },
      },
      {
        data: { values: marks },
        mark: { type: 'rule', strokeWidth: 0.6, opacity: 0.6 },
        encoding: { x, tooltip: { field: 'trouble', type: 'nominal' } },
      },
    ],
  };
  const view = new View(parse(compile(spec).spec), { renderer: 'none' });
  const svg = await view.toSVG();
  view.finalize();
  return svg;
};
