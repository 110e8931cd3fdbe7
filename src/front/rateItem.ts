import { Effect } from 'effect';
import type { NodeContext } from '../node/nodeContext.js';
import { Fault } from '../shared/fault.js';
import { readBody } from './readBody.js';
import { lot } from './lot.js';
import { lotBook } from './lotBook.js';
import { seaterRules } from './seaterRules.js';
import type { GrowingText } from './seaterState.js';

/** Asks for an item's rating once its whole text stands on a majority, and records it bound to that text's digest. */
export const rateItem = (options: {
  readonly context: NodeContext;
  readonly item: string;
  readonly ratingService: string;
  readonly growing: GrowingText | undefined;
  readonly allowed: () => boolean;
}): Effect.Effect<boolean> =>
  Effect.gen(function* () {
    const { context, item } = options;
    const book = lotBook(context.archive);
    const known = yield* book.rating(item);
    if (known) return true;
    const whole = yield* seaterRules.ratedText(context.archive, item, options.growing);
    if (!whole) return false;
    const { text, digest } = whole;
    const raters = context.news
      .samplers()
      .filter((sampler) => sampler.service === options.ratingService && sampler.state === 'ready');
    const chosenRater = raters[Math.floor(context.time.chance() * raters.length)];
    if (!chosenRater)
      return yield* new Fault({ step: 'rate', reason: `no sampler of ${options.ratingService} is ready` });
    if (!options.allowed()) return false;
    const body = Buffer.from(JSON.stringify({ item, text, digest }));
    const rating = yield* Effect.scoped(
      Effect.gen(function* () {
        const reply = yield* context.http.call(chosenRater.address, {
          method: 'POST',
          path: '/rate',
          headers: { 'content-type': 'application/json', 'foxdeck-item': item },
          body,
        });
        if (reply.status !== 200)
          return yield* new Fault({ step: 'rate', cohortMember: chosenRater.name, reason: `answered ${reply.status}` });
        const bytes = yield* readBody(reply.body);
        return yield* Effect.try({
          try: () => JSON.parse(Buffer.from(bytes).toString('utf8')) as unknown,
          catch: (cause) => new Fault({ step: 'rate', cohortMember: chosenRater.name, reason: String(cause) }),
        });
      }),
    ).pipe(
      Effect.timeoutFail({
        duration: 10_000,
        onTimeout: () => new Fault({ step: 'rate', cohortMember: chosenRater.name, reason: 'gave no answer in time' }),
      }),
    );
    yield* book.once(lot.keys.rating(item), { digest: lot.digestOf(text), rating });
    context.log.event('item_rated', { item, sampler: chosenRater.name });
    return true;
  }).pipe(
    Effect.catchAll((fault) =>
      Effect.gen(function* () {
        options.context.log.event('rating_failed', { item: options.item, reason: fault.message });
        yield* Effect.sleep(500);
        return false;
      }),
    ),
  );
