import { configuration } from '../shared/configuration.js';
import type { Seen } from './clients.js';
import type { Court } from './oracle.js';

const slackMs = 150;
const inForceMs = 2000;

/** Configurations: what was accepted, what was lost, what is in force, and whom they let be called. */
export const judgeConfigurations = ({ of, saw, must, final }: Court): void => {
  const changes = of('change-told').filter((each) => each.at < final.askedAt);
  const told = of('weights-told').filter((each) => each.at < final.askedAt);
  const named = told.map((each) => ({ ...each, state: each['status'] === 200 ? 'accepted' : 'other' }));
  const acceptedAt = new Map<number, number>();
  for (const each of [...changes, ...named] as ReadonlyArray<Seen>) {
    if (each['state'] !== 'accepted') continue;
    const sequence = each['sequence'] as number;
    acceptedAt.set(sequence, Math.min(acceptedAt.get(sequence) ?? Infinity, each.at));
  }
  const outdatedAt = (sequence: number): number =>
    Math.min(Infinity, ...[...acceptedAt].filter(([later]) => later > sequence).map(([, at]) => at)) +
    inForceMs +
    slackMs;

  for (const sight of saw('ran')) {
    const [path, service] = [String(sight['path']), String(sight['service'])];
    const fitting = final.chain.filter((each) =>
      configuration
        .match(each.configuration, path)
        .some(
          ([, binding]) =>
            configuration.servicesOf(binding).includes(service) && binding.methods.includes(String(sight['method'])),
        ),
    );
    must('no request without a configuration that allowed it', fitting.length > 0, () => `${path} ran at ${service}`);
    const last = Math.max(...fitting.map((each) => outdatedAt(each.sequence)));
    must(
      'an accepted configuration is in force in 2 s',
      sight.at - Number(sight['waited'] ?? 0) <= last,
      () => `${path} ran at ${service} at ${sight.at.toFixed(0)}; what allowed it was outdated at ${last.toFixed(0)}`,
    );
  }

  for (const id of new Set(changes.map((each) => String(each['id'])))) {
    const tolds = changes.filter((each) => each['id'] === id);
    const taken = final.chain.find((each) => each.change === id);
    const accepted = tolds.find((each) => each['state'] === 'accepted');
    if (accepted) {
      must(
        'an accepted change is read back',
        taken !== undefined && taken.sequence === accepted['sequence'],
        () => `${id} was accepted as ${String(accepted['sequence'])}, read back as ${taken?.sequence}`,
      );
    } else if (tolds.every((each) => each['state'] !== 'unknown')) {
      const states = tolds.map((each) => String(each['state'])).join();
      must(
        'a bounced change never takes effect',
        taken === undefined,
        () => `${id} was told ${states}, yet is sequence ${taken?.sequence}`,
      );
    }
  }
  for (const raced of of('raced')) {
    must('of two who race one wins at most', Number(raced['won']) <= 1, () => `${String(raced['won'])} won`);
  }
  const newest = Math.max(0, ...acceptedAt.keys());
  must(
    'the final configuration is the newest',
    final.sequence >= newest,
    () => `${final.sequence} is read, ${newest} was accepted`,
  );

  const points = [
    ...of('configuration-read').map((each) => ({ at: each.at, sequence: each['sequence'] as number })),
    ...[...acceptedAt].map(([sequence, at]) => ({ at, sequence })),
  ];
  for (const read of of('configuration-read')) {
    const before = Math.max(0, ...points.filter((each) => each.at < read.asked).map((each) => each.sequence));
    must(
      'what is read never slips back',
      (read['sequence'] as number) >= before,
      () => `${String(read['sequence'])} was read at ${read.asked.toFixed(0)} after ${before} was told`,
    );
  }
  const last = new Map<string, Seen>();
  for (const each of of('front-sequence').filter((one) => one['inForce'] === true)) {
    const front = String(each['front']);
    const before = last.get(front);
    if (before && each.asked > before.at) {
      must(
        'a front in force never slips back',
        (each['sequence'] as number) >= (before['sequence'] as number),
        () => `${front} went from ${String(before['sequence'])} to ${String(each['sequence'])}`,
      );
    }
    last.set(front, each);
    const overdue = [...acceptedAt].filter(([, at]) => at + inForceMs + slackMs < each.asked);
    const due = Math.max(0, ...overdue.map(([sequence]) => sequence));
    must(
      'an accepted configuration is in force in 2 s',
      (each['sequence'] as number) >= due,
      () => `${front} serves ${String(each['sequence'])} at ${each.asked.toFixed(0)}, ${due} was accepted`,
    );
  }
};
