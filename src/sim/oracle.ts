import type { ItemResult, Lot } from '../front/lot.js';
import type { Sight } from '../dev/standIn.js';
import { textOf } from '../dev/textOf.js';
import type { Seen } from './clients.js';

/** Everything that clients read back at the end. */
export type Final = {
  readonly chain: ReadonlyArray<{
    readonly sequence: number;
    readonly change: string;
    readonly configuration: { readonly bindings: Readonly<Record<string, { readonly service: string }>> };
  }>;
  readonly sequence: number;
  readonly lots: ReadonlyMap<
    string,
    { readonly status: number; readonly state: string; readonly items: ReadonlyMap<string, Record<string, unknown>> }
  >;
};

/** A rule that was broken, and how. */
export type Violation = { readonly rule: string; readonly what: string };

const slackMs = 150;

/** Judges a run by what clients, operators, trainers and samplers saw of it, and by nothing else. */
export const judge = (
  seen: ReadonlyArray<Seen>,
  sights: ReadonlyArray<Sight>,
  final: Final,
): { readonly violations: ReadonlyArray<Violation>; readonly checked: Readonly<Record<string, number>> } => {
  const violations: Violation[] = [];
  const checked: Record<string, number> = {};
  const must = (rule: string, holds: boolean, what: () => string): void => {
    checked[rule] = (checked[rule] ?? 0) + 1;
    if (!holds) violations.push({ rule, what: what() });
  };
  const of = (kind: string): ReadonlyArray<Seen> => seen.filter((each) => each.kind === kind);
  const saw = (kind: string): ReadonlyArray<Sight> => sights.filter((each) => each.kind === kind);

  const ran = new Map<string, ReadonlyArray<Sight>>();
  for (const sight of saw('ran')) ran.set(String(sight['id']), [...(ran.get(String(sight['id'])) ?? []), sight]);
  const asks = new Map<string, ReadonlyArray<Seen>>();
  for (const ask of of('ordinary')) asks.set(String(ask['id']), [...(asks.get(String(ask['id'])) ?? []), ask]);
  for (const [id, tries] of asks) {
    const runs = ran.get(id)?.length ?? 0;
    if (tries[0]!['once']) must('once-only runs once', runs <= 1, () => `${id} ran ${runs} times`);
    const may = tries.filter((each) => each['outcome'] !== 'bounced').length;
    must('a bounce never ran', may > 0 || runs === 0, () => `${id} was only bounced, but ran ${runs} times`);
    for (const each of tries) {
      if (each['status'] !== 200) continue;
      let body: Record<string, unknown> = {};
      try {
        body = JSON.parse(String(each['text'])) as Record<string, unknown>;
      } catch {
        body = {};
      }
      must(
        "a success is the sampler's own complete answer",
        body['end'] === true && body['id'] === id && runs > 0,
        () => `${id} got ${String(each['text']).slice(0, 80)}`,
      );
    }
  }

  const changes = of('change-told');
  const acceptedAt = new Map<number, number>();
  for (const told of [
    ...changes,
    ...of('weights-told').map((each) => ({ ...each, state: each['status'] === 200 ? 'accepted' : 'other' }) as Seen),
  ]) {
    if (told['state'] !== 'accepted') continue;
    const sequence = told['sequence'] as number;
    acceptedAt.set(sequence, Math.min(acceptedAt.get(sequence) ?? Infinity, told.at));
  }
  const outdatedAt = (sequence: number): number =>
    Math.min(Infinity, ...[...acceptedAt].filter(([later]) => later > sequence).map(([, at]) => at)) + 2000 + slackMs;
  for (const sight of saw('ran').filter((each) => String(each['path']).startsWith('/toggle/'))) {
    const service = String(sight.sampler).replace(/-\d+$/, '');
    const fitting = final.chain.filter((each) => each.configuration.bindings['toggle']?.service === service);
    must(
      'no request without a configuration that allowed it',
      fitting.length > 0,
      () => `${String(sight['path'])} ran at ${service}`,
    );
    must(
      'an accepted configuration is in force in 2 s',
      fitting.some((each) => sight.at <= outdatedAt(each.sequence)),
      () =>
        `${String(sight['path'])} ran at ${service} at ${sight.at.toFixed(0)}; the last that allowed it was outdated at ${Math.max(...fitting.map((each) => outdatedAt(each.sequence))).toFixed(0)}`,
    );
  }
  for (const [id, tolds] of grouped(changes)) {
    const taken = final.chain.find((each) => each.change === id);
    const accepted = tolds.find((each) => each['state'] === 'accepted');
    if (accepted)
      must(
        'an accepted change is read back',
        taken !== undefined && taken.sequence === accepted['sequence'],
        () => `${id} was accepted as ${String(accepted['sequence'])}, read back as ${taken?.sequence}`,
      );
    else if (tolds.every((each) => each['state'] !== 'unknown'))
      must(
        'a bounced change never takes effect',
        taken === undefined,
        () => `${id} was told ${tolds.map((each) => String(each['state'])).join()}, yet is sequence ${taken?.sequence}`,
      );
  }
  must(
    'the final configuration is the newest',
    final.sequence >= Math.max(0, ...acceptedAt.keys()),
    () => `${final.sequence} is read, ${Math.max(...acceptedAt.keys())} was accepted`,
  );
  const points = [
    ...of('configuration-read').map((each) => ({
      asked: each.asked,
      at: each.at,
      sequence: each['sequence'] as number,
    })),
    ...changes
      .filter((each) => each['state'] === 'accepted')
      .map((each) => ({ asked: Infinity, at: each.at, sequence: each['sequence'] as number })),
  ].sort((left, right) => left.at - right.at);
  for (const read of points.filter((each) => each.asked < Infinity)) {
    const before = Math.max(0, ...points.filter((each) => each.at < read.asked).map((each) => each.sequence));
    must(
      'what is read never slips back',
      read.sequence >= before,
      () => `${read.sequence} was read at ${read.asked.toFixed(0)} after ${before} was told`,
    );
  }
  const newest = new Map<string, Seen>();
  for (const each of of('front-sequence').filter((one) => one['inForce'] === true)) {
    const before = newest.get(String(each['front']));
    if (before && each.asked > before.at)
      must(
        'a front in force never slips back',
        (each['sequence'] as number) >= (before['sequence'] as number),
        () => `${String(each['front'])} went from ${String(before['sequence'])} to ${String(each['sequence'])}`,
      );
    newest.set(String(each['front']), each);
    const due = Math.max(
      0,
      ...[...acceptedAt].filter(([, at]) => at + 2000 + slackMs < each.asked).map(([sequence]) => sequence),
    );
    must(
      'an accepted configuration is in force in 2 s',
      (each['sequence'] as number) >= due,
      () =>
        `${String(each['front'])} serves ${String(each['sequence'])} at ${each.asked.toFixed(0)}, ${due} was accepted`,
    );
  }

  for (const sight of saw('after-leaving')) {
    const known = sights
      .filter((each) => each.kind === 'known-leaving' && each.sampler === sight.sampler && each.at <= sight.at)
      .at(-1);
    must(
      'nothing reaches a leaving sampler after 2 s',
      !known || sight.at <= known.at + 2000 + slackMs,
      () => `${sight.sampler} was called ${(sight.at - known!.at).toFixed(0)} ms after it was known to leave`,
    );
  }
  checked['starts seen'] = saw('start').length;
  for (const sight of saw('old-fence'))
    must(
      'no competing orders',
      false,
      () =>
        `${sight.sampler} got fence ${String(sight['fence'])} after ${String(sight['highestFence'])} for ${String(sight['item'])}`,
    );
  for (const sight of saw('stale-prefill'))
    must(
      'no cached prefill of another version',
      false,
      () =>
        `${sight.sampler} went on with ${String(sight['item'])} from version ${String(sight['from'])} on ${String(sight['version'])}`,
    );

  const ends = new Map(
    of('end-told')
      .filter((each) => each['status'] === 200 && each['state'] === 'ended')
      .map((each) => [String(each['id']), each.at]),
  );
  for (const sight of [...saw('start'), ...saw('rate')]) {
    const ended = ends.get(String(sight['item']).split('/')[0]!);
    if (ended !== undefined)
      must(
        'nothing of an ended lot starts after 3 s',
        sight.at <= ended + 3000 + slackMs,
        () => `${String(sight['item'])} started ${(sight.at - ended).toFixed(0)} ms after its lot ended`,
      );
  }

  for (const told of of('lot-told').filter((each) => each['status'] === 201)) {
    const id = String(told['id']);
    const lot = told['lot'] as Lot;
    const found = final.lots.get(id);
    for (const read of of('lot-read').filter((each) => each['id'] === id))
      must('an accepted lot is readable', read['status'] !== 404, () => `${id} was answered 404`);
    must(
      'an accepted lot stays readable',
      found?.status === 200,
      () => `${id} is answered ${found?.status} at the end`,
    );
    if (!found) continue;
    if (!ends.has(id)) must('a lot comes to its end', found.state !== 'open', () => `${id} is still open`);
    const complete = new Set(
      of('lot-read')
        .filter((each) => each['id'] === id && each['status'] === 200)
        .flatMap((each) =>
          (each['body'] as { items: ReadonlyArray<{ group: number; item: number; state: string }> }).items
            .filter((item) => item.state === 'complete')
            .map((item) => `${item.group}/${item.item}`),
        ),
    );
    for (const [place, item] of found.items) {
      const prompt = lot.groups[Number(place.split('/')[0])]!.items[Number(place.split('/')[1])]!.prompt;
      const pieces = (item['pieces'] ?? []) as Extract<ItemResult, { state: 'complete' }>['pieces'];
      if (complete.has(place))
        must(
          'a result stays',
          item['state'] === 'complete',
          () => `${id}/${place} was complete, then ${String(item['state'])}`,
        );
      must(
        'a text continues where it broke off',
        textOf.holds(prompt, pieces),
        () => `${id}/${place} does not follow from its prompt`,
      );
      must(
        'a text keeps to its versions',
        pieces.every((piece) => piece.version >= (lot.minVersion ?? 0)) &&
          (!lot.singleVersion || new Set(pieces.map((piece) => piece.version)).size <= 1),
        () =>
          `${id}/${place} has versions ${[...new Set(pieces.map((piece) => piece.version))].join()} against a least of ${lot.minVersion}`,
      );
      if (item['state'] === 'complete') {
        must(
          'a result is whole',
          pieces.length === textOf.length(prompt, undefined),
          () => `${id}/${place} has ${pieces.length} pieces`,
        );
        if (item['ratedDigest'] !== undefined)
          must(
            'a rating is of the whole text',
            item['ratedDigest'] === item['digest'] && (item['rating'] as { digest: string }).digest === item['digest'],
            () => `${id}/${place}`,
          );
        for (const sight of saw('rate').filter((each) => each['item'] === `${id}/${place}`))
          must(
            'a rating is asked of the whole text',
            sight['digest'] === item['digest'],
            () => `${id}/${place} was rated with another text`,
          );
        if (lot.ratingService !== undefined && found.state === 'complete')
          must('a complete lot is rated', item['ratedDigest'] !== undefined, () => `${id}/${place}`);
      }
      for (const stream of of('stream').filter(
        (each) => each['id'] === id && `${String(each['group'])}/${String(each['item'])}` === place,
      )) {
        const got = stream['pieces'] as ReadonlyArray<{ text: string }>;
        must(
          'a stream neither skips, repeats nor splices',
          stream['wrong'] === undefined &&
            (item['state'] === 'open' ||
              item['state'] === 'ended' ||
              got.every((piece, index) => piece.text === pieces[index]?.text)),
          () => `${id}/${place}: ${String(stream['wrong'] ?? `its ${got.length} pieces differ from the result`)}`,
        );
      }
    }
  }
  return { violations, checked };
};

const grouped = (changes: ReadonlyArray<Seen>): Map<string, Seen[]> => {
  const groups = new Map<string, Seen[]>();
  for (const each of changes) groups.set(String(each['id']), [...(groups.get(String(each['id'])) ?? []), each]);
  return groups;
};
