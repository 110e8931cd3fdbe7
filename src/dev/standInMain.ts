import { appendFileSync, readFileSync } from 'node:fs';
import { Effect } from 'effect';
import { realHttp } from '../edge/realHttp.js';
import { realTime } from '../edge/realTime.js';
import { Http } from '../shared/http.js';
import { Timepiece } from '../shared/timepiece.js';
import { startStandIn, type StandInOptions } from './standIn.js';

const given = JSON.parse(readFileSync(process.argv[2]!, 'utf8')) as Omit<StandInOptions, 'saw'> & { sights: string };

const program = Effect.scoped(
  Effect.gen(function* () {
    const standIn = yield* startStandIn({
      ...given,
      saw: (sight) => appendFileSync(given.sights, `${JSON.stringify(sight)}\n`),
    });
    yield* Effect.async<void>((resume) => void process.on('SIGTERM', () => resume(Effect.void)));
    yield* standIn.leave;
    yield* Effect.sleep(3000);
  }),
).pipe(Effect.provideService(Http, realHttp), Effect.provideService(Timepiece, realTime()));

await Effect.runPromise(program);
process.exit(0);
