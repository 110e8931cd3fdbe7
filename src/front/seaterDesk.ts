import { Deferred, Effect } from 'effect';
import type { Announcement } from '../node/news.js';
import type { NodeContext } from '../node/nodeContext.js';
import { table } from '../shared/table.js';
import { lotBook } from './lotBook.js';
import { makePaces } from './seaterPaces.js';
import { seaterRules } from './seaterRules.js';
import { seaterState, type GrowingText, type SeaterState } from './seaterState.js';

/** A text as its seater grows it, with the stretch that may add to it. */
export type Growing = GrowingText & {
  /** Tokens of all its pieces. */
  tokens: number;
  stretch: number;
  promptTokens: number;
  fault: string | undefined;
};

/** The last decision on an item, with its figures. */
export type Explained = {
  readonly at: number;
  readonly kind: string;
  readonly cause: string;
  readonly sampler: string;
  readonly figures: Readonly<Record<string, number>>;
};

/** What the parts of one seater share; `held` tells, at each order, whether the duty is still this node's. */
export const makeDesk = (context: NodeContext, service: string, token: number) => {
  const { time, register } = context;
  const duty = `seat/${service}`;
  const book = lotBook(context.archive);
  const held = (): boolean => context.leases.duty(duty) === token;
  const state = table<SeaterState>(seaterState.empty);
  const texts = new Map<string, Growing>();
  const explained = new Map<string, Explained>();
  const faults = new Map<string, number>();
  const paces = makePaces(context);
  let waiters: ReadonlyArray<Deferred.Deferred<void>> = [];

  const rules = () => register.known()!.configuration.seating;
  const trainer = () => register.known()?.configuration.weights[service] ?? { version: 0, step: 0 };
  const samplers = (): ReadonlyArray<Announcement> =>
    context.news.samplers().filter((sampler) => sampler.service === service);
  /** The seating view of the table as it is now. */
  const view = (live = samplers(), now: number = time.held()) =>
    seaterState.view(state.get(), live, trainer().step, now, paces.slow);
  const textOf = (key: string): Growing => {
    const known = texts.get(key) ?? {
      pieces: [],
      tokens: 0,
      confirmed: 0,
      saved: 0,
      final: false,
      stretch: 0,
      promptTokens: 0,
      fault: undefined,
    };
    texts.set(key, known);
    return known;
  };
  const wake = (): void => {
    for (const waiter of waiters) Deferred.unsafeDone(waiter, Effect.void);
    waiters = [];
  };
  const startable = (id: string): boolean => {
    const open = state.get().lots.get(id);
    return (
      open !== undefined &&
      !open.ended &&
      time.held() - open.verifiedAt < seaterRules.verifiedForMs &&
      !context.news.ended().includes(id)
    );
  };
  /** Waits until something changed for those who follow a text, at most for a while. */
  const news = (mostMs: number): Effect.Effect<void> =>
    Effect.gen(function* () {
      const waiter = yield* Deferred.make<void>();
      waiters = [...waiters, waiter];
      yield* Deferred.await(waiter).pipe(Effect.timeoutOption(mostMs));
    });

  return {
    context,
    service,
    token,
    duty,
    book,
    held,
    state,
    texts,
    explained,
    faults,
    paces,
    view,
    rules,
    trainer,
    samplers,
    textOf,
    wake,
    startable,
    news,
  };
};

/** A seater's desk. */
export type Desk = ReturnType<typeof makeDesk>;
