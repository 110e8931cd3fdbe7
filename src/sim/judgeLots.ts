import { textOf } from '../dev/textOf.js';
import type { Lot, TextPiece } from '../front/lot.js';
import type { Seen } from './clients.js';
import type { Court } from './oracle.js';

type Row = { readonly group: number; readonly item: number; readonly state: string };

const readableMs = 1000;

const completeIn = (reads: ReadonlyArray<Seen>): ReadonlySet<string> =>
  new Set(
    reads
      .filter((each) => each['status'] === 200)
      .flatMap((each) => (each['body'] as { items: ReadonlyArray<Row> }).items)
      .filter((row) => row.state === 'complete')
      .map((row) => `${row.group}/${row.item}`),
  );

/** Lots: read back, whole, of the right versions, rated on the whole text, and streamed without a flaw. */
export const judgeLots = (court: Court): void => {
  const { of, must, final, calm, ends } = court;
  for (const told of of('lot-told').filter((each) => each['status'] === 201)) {
    const id = String(told['id']);
    const given = told['lot'] as Lot;
    const found = final.lots.get(id);
    const reads = of('lot-read').filter((each) => each['id'] === id);
    for (const read of reads) {
      must('an accepted lot is never unknown', read['status'] !== 404, () => `${id} was answered 404`);
      if (read.asked < told.at + readableMs || !calm(read.asked)) continue;
      must(
        'an accepted lot is readable in 1 s',
        read['status'] === 200,
        () => `${id} was answered ${String(read['status'])} at ${String(read['front'])} at ${read.asked.toFixed(0)}`,
      );
    }
    must(
      'an accepted lot stays readable',
      found?.status === 200,
      () => `${id} is answered ${found?.status} at the end`,
    );
    if (!found) continue;
    if (!ends.has(id)) must('a lot comes to its end', found.state !== 'open', () => `${id} is still open`);
    const complete = completeIn(reads);
    for (const [place, item] of found.items) {
      if (complete.has(place)) {
        const now = String(item['state']);
        must('a result stays', now === 'complete', () => `${id}/${place} was complete, then ${now}`);
      }
      judgeItem(court, id, given, place, item, found.state);
    }
  }
};

const judgeItem = (
  { of, saw, must }: Court,
  id: string,
  given: Lot,
  place: string,
  item: Record<string, unknown>,
  state: string,
): void => {
  const name = `${id}/${place}`;
  const [group, index] = place.split('/').map(Number);
  const prompt = given.groups[group!]!.items[index!]!.prompt;
  const pieces = (item['pieces'] ?? []) as ReadonlyArray<TextPiece>;
  const versions = [...new Set(pieces.map((piece) => piece.version))];
  must('a text continues where it broke off', textOf.holds(prompt, pieces), () => `${name} does not follow`);
  must(
    'a text keeps to its versions',
    versions.every((version) => version >= (given.minVersion ?? 0)) && (!given.singleVersion || versions.length <= 1),
    () => `${name} has versions ${versions.join()} against a least of ${given.minVersion}`,
  );
  if (item['state'] === 'complete') {
    must(
      'a result is whole',
      pieces.length === textOf.length(prompt, undefined),
      () => `${name}: ${pieces.length} pieces`,
    );
    const text = pieces.map((piece) => piece.text).join('');
    const stood = Math.min(
      ...saw('whole')
        .filter((each) => each['item'] === name)
        .map((each) => each.at),
    );
    for (const rate of saw('rate').filter((each) => each['item'] === name)) {
      must(
        'a rating is asked of the whole text, once it stands',
        rate['digest'] === item['digest'] && rate['length'] === text.length && rate.at > stood,
        () => `${name} was rated at ${rate.at.toFixed(0)} on ${String(rate['length'])} of ${text.length} characters`,
      );
    }
    if (item['ratedDigest'] !== undefined) {
      const rated = (item['rating'] as { digest: string }).digest;
      must(
        'a rating is of the whole text',
        item['ratedDigest'] === item['digest'] && rated === item['digest'],
        () => name,
      );
    }
    if (given.ratingService !== undefined && state === 'complete') {
      must('a complete lot is rated', item['ratedDigest'] !== undefined, () => name);
    }
  }
  const streams = of('stream').filter((each) => each['id'] === id && each['group'] === group && each['item'] === index);
  const settled = item['state'] === 'complete' || item['state'] === 'failed';
  const longest = streams
    .map((each) => each['pieces'] as ReadonlyArray<TextPiece>)
    .sort((left, right) => right.length - left.length)[0];
  for (const stream of streams) {
    const got = stream['pieces'] as ReadonlyArray<TextPiece>;
    const due = settled ? pieces : longest!;
    const ended = String(stream['end'] ?? '').startsWith('done');
    must(
      'a stream neither skips, repeats nor splices',
      stream['wrong'] === undefined &&
        got.every((piece, at) => piece.text === due[at]?.text && piece.version === due[at]?.version) &&
        (!ended || got.length === pieces.length),
      () => `${name}: ${String(stream['wrong'] ?? `its ${got.length} pieces differ from the ${due.length} due`)}`,
    );
  }
};
