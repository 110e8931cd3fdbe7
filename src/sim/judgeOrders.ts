import type { Court } from './oracle.js';

const slackMs = 150;

/** Orders to samplers: after leaving, from whom and under which fence, and on which cache. */
export const judgeOrders = ({ saw, must, ends }: Court): void => {
  const late = saw('after-leaving');
  for (const known of saw('known-leaving')) {
    const after = late.filter((each) => each.sampler === known.sampler && each.at > known.at + 2000 + slackMs);
    const back = saw('up').find((each) => each.sampler === known.sampler && each.at > known.at)?.at ?? Infinity;
    const wrong = after.find((each) => each.at < back);
    must(
      'nothing reaches a leaving sampler after 2 s',
      wrong === undefined,
      () => `${known.sampler} was called ${(wrong!.at - known.at).toFixed(0)} ms after it was known to leave`,
    );
  }

  const orders = [...saw('start'), ...saw('load')].sort((left, right) => left.at - right.at);
  const senders = new Map<string, string>();
  for (const order of orders) {
    const fence = `${order.sampler.replace(/-\d+$/, '')} ${String(order['fence'])}`;
    const by = String(order['by'] ?? '');
    const first = senders.get(fence) ?? by;
    senders.set(fence, first);
    must('one node orders under one token', by === first, () => `${fence} came from ${first} and from ${by}`);
  }
  const old = saw('old-fence');
  for (const order of orders) {
    const broken = old.find((each) => each.sampler === order.sampler && each.at === order.at);
    must(
      'no competing orders',
      broken === undefined,
      () => `${order.sampler} got fence ${String(broken!['fence'])} after ${String(broken!['highestFence'])}`,
    );
  }
  const stale = saw('stale-prefill');
  for (const start of saw('start').filter((each) => each['held'] === true)) {
    const wrong = stale.find((each) => each.sampler === start.sampler && each['item'] === start['item']);
    must(
      'no cached prefill of another version',
      wrong === undefined || wrong.at !== start.at,
      () => `${start.sampler} went on with ${String(start['item'])} from version ${String(wrong!['from'])}`,
    );
  }

  for (const sight of [...saw('start'), ...saw('rate')]) {
    const ended = ends.get(String(sight['item']).split('/')[0]!);
    if (ended === undefined) continue;
    must(
      'nothing of an ended lot starts after 3 s',
      sight.at <= ended + 3000 + slackMs,
      () => `${String(sight['item'])} started ${(sight.at - ended).toFixed(0)} ms after its lot ended`,
    );
  }
};
