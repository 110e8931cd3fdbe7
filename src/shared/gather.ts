import { Deferred, Effect } from 'effect';

/** Runs all asks at once and answers as soon as the outcomes suffice or none is left; stragglers run on. */
export const gather = <A, B, E>(
  members: ReadonlyArray<A>,
  ask: (member: A) => Effect.Effect<B, E>,
  suffices: (answers: ReadonlyArray<{ readonly member: A; readonly answer: B }>) => boolean,
): Effect.Effect<{
  readonly answers: ReadonlyArray<{ readonly member: A; readonly answer: B }>;
  readonly faults: ReadonlyArray<E>;
}> =>
  Effect.gen(function* () {
    const settled = yield* Deferred.make<void>();
    let answers: ReadonlyArray<{ readonly member: A; readonly answer: B }> = [];
    let faults: ReadonlyArray<E> = [];
    if (members.length === 0) return { answers, faults };
    const check = (): void => {
      if (suffices(answers) || answers.length + faults.length === members.length)
        Deferred.unsafeDone(settled, Effect.void);
    };
    for (const member of members) {
      yield* Effect.forkDaemon(
        ask(member).pipe(
          Effect.match({
            onFailure: (fault) => {
              faults = [...faults, fault];
              check();
            },
            onSuccess: (answer) => {
              answers = [...answers, { member, answer }];
              check();
            },
          }),
        ),
      );
    }
    yield* Deferred.await(settled);
    return { answers, faults };
  });
