import * as yup from 'yup';

const whole = () => yup.number().integer().min(0);

/** The schema of what a sampler announces. */
export const announcement = yup
  .object({
    name: yup
      .string()
      .matches(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, '${path} must be a name of letters, digits and ._-')
      .required(),
    service: yup.string().required(),
    address: yup
      .string()
      .matches(/^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/, '${path} must be an IP number and a port')
      .required(),
    domain: yup.string().required(),
    state: yup.string().oneOf(['starting', 'ready', 'draining', 'leaving']).required(),
    version: whole().required(),
    kvUsed: whole().required(),
    budget: whole().required(),
    incarnation: whole().required(),
    sequence: whole().min(1).required(),
  })
  .noUnknown()
  .strict();
