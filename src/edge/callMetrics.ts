import { Counter, Gauge, Registry } from 'prom-client';

/** One call between this process and another: who was asked, for what, and how many bytes went each way. */
export type CallSize = {
  readonly address: string;
  readonly call: string;
  readonly sentBytes: number;
  readonly receivedBytes: number;
};

/** Totals of one call to one zone since the process began. */
export type CallTotal = {
  readonly call: string;
  readonly zone: string;
  readonly calls: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly connections: number;
};

/** What a process counts of the calls that it makes. The callee counts nothing, so that no byte counts twice. */
export type CallMetrics = {
  readonly observe: (size: CallSize) => void;
  /** A connection was opened for calls of that name. */
  readonly connected: (address: string, call: string) => void;
  /** How an address is resolved to its zone, once the process knows of other machines. */
  readonly resolveZones: (zoneOf: (address: string) => string | undefined) => void;
  readonly totals: () => Promise<ReadonlyArray<CallTotal>>;
  /** Shows how many more disks each group of replicas may lose; below 0 so many machines have to return first. */
  readonly showLossMargins: (margins: ReadonlyMap<string, number>) => void;
  /** Everything in Prometheus' text form. */
  readonly text: () => Promise<string>;
};

const unknownZone = 'unknown';

/** Makes a process's counters, each with the zone of the process and that of the machine asked. */
export const makeCallMetrics = (ownZone: string): CallMetrics => {
  const registry = new Registry();
  const labelNames = ['call', 'from_zone', 'to_zone'] as const;
  const counter = (name: string, help: string): Counter<(typeof labelNames)[number]> =>
    new Counter({ name, help, labelNames, registers: [registry] });
  const calls = counter('foxdeck_calls_total', 'Calls made, by name and pair of zones');
  const sent = counter('foxdeck_call_sent_bytes_total', 'Bytes of requests sent, by name and pair of zones');
  const received = counter('foxdeck_call_received_bytes_total', 'Bytes of responses read, by name and pair of zones');
  const connections = counter('foxdeck_connections_total', 'Connections opened, by name and pair of zones');
  const lossMargins = new Gauge({
    name: 'foxdeck_loss_margin',
    help: 'Disks that a group of replicas may still lose without losing what was acknowledged',
    labelNames: ['group'],
    registers: [registry],
  });
  let zoneOf: (address: string) => string | undefined = () => undefined;
  const labels = (address: string, call: string): Record<(typeof labelNames)[number], string> => ({
    call,
    from_zone: ownZone,
    to_zone: zoneOf(address) ?? unknownZone,
  });
  return {
    observe: ({ address, call, sentBytes, receivedBytes }) => {
      const labelled = labels(address, call);
      calls.inc(labelled);
      sent.inc(labelled, sentBytes);
      received.inc(labelled, receivedBytes);
    },
    connected: (address, call) => connections.inc(labels(address, call)),
    resolveZones: (resolve) => {
      zoneOf = resolve;
    },
    totals: async () => {
      const [counted, out, back, opened] = await Promise.all([
        calls.get(),
        sent.get(),
        received.get(),
        connections.get(),
      ]);
      const valueOf = ({ values }: typeof counted, call: unknown, zone: unknown): number =>
        values.find(({ labels: { call: name, to_zone: to } }) => name === call && to === zone)?.value ?? 0;
      return counted.values.map(({ labels: { call, to_zone: zone }, value }) => ({
        call: String(call),
        zone: String(zone),
        calls: value,
        sentBytes: valueOf(out, call, zone),
        receivedBytes: valueOf(back, call, zone),
        connections: valueOf(opened, call, zone),
      }));
    },
    showLossMargins: (margins) => {
      lossMargins.reset();
      for (const [group, margin] of margins) lossMargins.set({ group }, margin);
    },
    text: () => registry.metrics(),
  };
};
