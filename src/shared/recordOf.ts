import * as yup from 'yup';

/** A schema for an object whose keys are names and whose values all fit one schema. */
export const recordOf = (inner: yup.Schema, namePattern = /^[A-Za-z0-9][A-Za-z0-9._/-]{0,127}$/) =>
  yup.lazy((value: unknown) => {
    const names = value !== null && typeof value === 'object' && !Array.isArray(value) ? Object.keys(value) : [];
    return yup
      .object(Object.fromEntries(names.map((name) => [name, inner])))
      .strict()
      .test('names', 'has a key that is not a name', () => names.every((name) => namePattern.test(name)));
  });
