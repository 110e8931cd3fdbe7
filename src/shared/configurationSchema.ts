import * as yup from 'yup';
import { recordOf } from './recordOf.js';

const whole = () => yup.number().integer().min(0);

const service = yup
  .object({
    kind: yup.string().oneOf(['model', 'plain']).required(),
    /** How many samplers may load new weights at once. */
    rollWidth: whole().min(1),
    /** How many requests one sampler may run at once (plain services). */
    concurrency: whole().min(1),
  })
  .noUnknown()
  .strict();

const binding = yup
  .object({
    path: yup
      .string()
      .matches(/^\/[^?#\s]*$/, '${path} must start with / and hold no query')
      .required(),
    methods: yup
      .array(
        yup
          .string()
          .matches(/^[A-Z]+$/, '${path} must be an upper-case method')
          .required(),
      )
      .min(1)
      .required(),
    service: yup.string().required(),
    /** Hundredths of the requests by service; they add up to 100. */
    shares: recordOf(whole().max(100).required()),
    onceOnly: yup.boolean(),
    timeLeftMs: whole().min(1).max(3_600_000),
    bodyLimit: whole().min(1),
  })
  .noUnknown()
  .strict();

const seating = yup
  .object({
    finishedWeight: yup.number().min(0),
    activeWeight: yup.number().min(0),
    perThousandWeight: yup.number().min(0),
    diversityPenalty: yup.number().min(0),
    reserve: yup.number().min(0).max(0.9),
    starvationMs: whole(),
    checkpointMs: whole().min(10),
    firstTurnPieces: whole().min(1),
    mode: yup.string().oneOf(['ctb', 'admit-all']),
  })
  .noUnknown()
  .strict();

/** The longest that a request may have to live; a key that was claimed later than that may still be in use. */
const leastKeysMs = 3_600_000;
const retention = yup
  .object({
    /** After how long lots that ended are retired; 0 keeps them for ever. */
    lotsMs: whole(),
    /** After how long keys of once-only requests are retired; 0 keeps them for ever. */
    keysMs: whole().test(
      'least',
      `\${path} must be 0 or over ${leastKeysMs}, the longest time left of a request`,
      (value) => value === undefined || value === 0 || value > leastKeysMs,
    ),
  })
  .noUnknown()
  .strict();

const weights = yup
  .object({ version: whole().min(1).required(), step: whole().required() })
  .noUnknown()
  .strict();

const parts = {
  services: recordOf(service.nullable()),
  bindings: recordOf(binding.nullable()),
  weights: recordOf(weights.nullable()),
  seating,
  retention: retention.default(undefined),
  stores: yup.array(yup.string().required()).min(1),
};

const name = () => yup.string().required();

const move = yup
  .object({
    startMs: whole().required(),
    latestMs: whole(),
    change: yup.object(parts).noUnknown().strict().default(undefined),
    shift: yup
      .object({
        binding: name(),
        to: name(),
        steps: yup.array(whole().min(1).max(100).required()).min(1).max(100).required(),
        everyMs: whole().required(),
      })
      .noUnknown()
      .strict()
      .default(undefined),
    retire: yup.object({ store: name(), by: yup.string() }).noUnknown().strict().default(undefined),
    replace: yup
      .object({ service: name(), width: whole().min(1), leastReady: whole() })
      .noUnknown()
      .strict()
      .default(undefined),
  })
  .noUnknown()
  .strict();

const progress = yup
  .object({
    steps: whole().required(),
    at: whole().required(),
    was: binding.default(undefined),
    samplers: recordOf(whole().required()),
    ended: yup.string().oneOf(['done', 'failed', 'cancelled']),
    reason: yup.string(),
  })
  .noUnknown()
  .strict();

const voters = yup
  .object({ add: yup.string(), remove: yup.string(), lost: yup.boolean() })
  .noUnknown()
  .strict()
  .test(
    'one',
    'voters change one at a time: name one to add, one to remove, or one of each',
    (value) => value === undefined || value === null || value.add !== undefined || value.remove !== undefined,
  );

/** The schema of a change document: what an operator hands over in one call. */
export const configurationSchema = yup
  .object({
    id: yup
      .string()
      .matches(/^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$/, '${path} must be a name of letters, digits and ._/-')
      .required(),
    expected: whole(),
    whole: yup.boolean(),
    ...parts,
    moves: recordOf(move.nullable()),
    voters: voters.default(undefined),
    /** Said by the sweep: the store move of this epoch has copied everything. */
    settledEpoch: whole(),
    /** The declared traffic has rules of its own; here only its frame. */
    traffic: yup
      .object({ basedOn: whole().required(), value: yup.mixed().required() })
      .noUnknown()
      .strict()
      .default(undefined),
    models: recordOf(whole().min(1).required()),
    emptied: yup.string(),
    /** Said by the calendar: how far its moves came. */
    moveSteps: recordOf(progress),
  })
  .noUnknown()
  .strict();
