import { Result } from 'true-myth';
import * as yup from 'yup';

/** Why a document was not taken: where, and what is wrong there. */
export type Reason = { readonly path: string; readonly message: string };

/** Checks a document against a schema and lists every reason against it. */
export const checked = <T>(
  schema: { validateSync: (value: unknown, options: object) => unknown },
  document: unknown,
): Result<T, ReadonlyArray<Reason>> => {
  try {
    return Result.ok(schema.validateSync(document, { abortEarly: false, strict: true }) as T);
  } catch (cause) {
    if (!(cause instanceof yup.ValidationError)) return Result.err([{ path: '', message: String(cause) }]);
    const inner = cause.inner.length > 0 ? cause.inner : [cause];
    return Result.err(inner.map((each) => ({ path: each.path ?? '', message: each.errors.join('; ') })));
  }
};
