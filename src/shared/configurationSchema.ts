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

const weights = yup
  .object({ version: whole().min(1).required(), step: whole().required() })
  .noUnknown()
  .strict();

const parts = {
  services: recordOf(service.nullable()),
  bindings: recordOf(binding.nullable()),
  weights: recordOf(weights.nullable()),
  seating,
  stores: yup.array(yup.string().required()).min(1),
};

const move = yup
  .object({
    startMs: whole().required(),
    latestMs: whole(),
    change: yup.object(parts).noUnknown().strict().required(),
  })
  .noUnknown()
  .strict();

const voters = yup
  .object({ add: yup.string(), remove: yup.string() })
  .noUnknown()
  .strict()
  .test(
    'one',
    'voters change one at a time: name either add or remove',
    (value) => value === undefined || value === null || (value.add === undefined) !== (value.remove === undefined),
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
  })
  .noUnknown()
  .strict();
