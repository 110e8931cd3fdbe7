import { createServer } from 'node:http';
import type { FleetSettings } from './fleetTypes.js';
import type { ProgramTools } from './program.js';

const path = '/metrics';

/** Shows a process's counters: as text to whoever asks, and in its log where that is wanted. */
export const serveMetrics = async (settings: FleetSettings, tools: ProgramTools): Promise<void> => {
  const { metrics, log } = tools;
  const address = settings.listen.metrics;
  if (address !== undefined) {
    const server = createServer((message, response) => {
      if (message.url !== path) return void response.writeHead(404).end();
      metrics.text().then(
        (text) => void response.writeHead(200, { 'content-type': 'text/plain' }).end(text),
        () => void response.destroy(),
      );
    });
    // A process without its counters still does its work.
    await tools.transport.listenHttp(server, address).catch((cause: unknown) => {
      log.event('metrics_not_served', { address, reason: String(cause) });
    });
  }
  if (settings.reportMs === undefined) return;
  setInterval(() => {
    void metrics.totals().then((totals) => {
      for (const total of totals) log.event('calls_counted', { from: settings.zone, ...total });
    });
  }, settings.reportMs).unref();
};
