import { fleetKeys } from './fleetKeys.js';
import type { Observation } from './observations.js';

type Of<K extends Observation['kind']> = Extract<Observation, { readonly kind: K }>;
type Found = { readonly rule: string; readonly what: string };

/** When the next change after each one was acknowledged, by mark; that change withdraws the key of the mark. */
const withdrawals = (declared: ReadonlyArray<Of<'declared'>>): ReadonlyMap<string, number> => {
  const accepted = declared.filter((each) => each.status === 200);
  const at = new Map<string, number>();
  for (const { mark, version } of accepted) {
    const later = accepted.filter((each) => each.version > version).map((each) => each.at);
    if (later.length > 0) at.set(mark, Math.min(...later));
  }
  return at;
};

const ofRun = (
  run: Of<'ran'>,
  asked: Of<'asked'>,
  withdrawnAt: ReadonlyMap<string, number>,
  boundMs: number,
): Found[] => {
  const { key, sentAt, attempt } = asked;
  const found: Found[] = [];
  if (key.tenant === undefined) found.push({ rule: 'an unknown key runs nothing', what: attempt });
  if (run.tenant !== key.tenant)
    found.push({ rule: 'a request runs under its key’s tenant', what: `${attempt}: ${run.tenant}, not ${key.tenant}` });
  const withdrawn = key.mark === undefined ? undefined : withdrawnAt.get(key.mark);
  if (withdrawn !== undefined && sentAt > withdrawn + boundMs) {
    const late = (sentAt - withdrawn).toFixed(0);
    found.push({ rule: 'a withdrawn key runs nothing', what: `${attempt}, sent ${late} ms after the acknowledgement` });
  }
  return found;
};

/** Checks who requests ran for: by the keys that their callers sent and the configurations that held these. */
export const keyChecker = (
  seen: {
    readonly declared: ReadonlyArray<Of<'declared'>>;
    readonly asked: ReadonlyArray<Of<'asked'>>;
    readonly ran: ReadonlyArray<Of<'ran'>>;
    readonly taken: ReadonlyArray<Of<'batchTaken'>>;
  },
  boundMs: number,
): ReadonlyArray<Found> => {
  const withdrawnAt = withdrawals(seen.declared);
  const requests = new Map(seen.asked.map((each) => [each.attempt, each]));
  const tenantOfItem = new Map(seen.taken.flatMap(({ items, tenant }) => items.map((item) => [item, tenant] as const)));
  const found: Found[] = [];
  for (const run of seen.ran) {
    if (run.headers.includes(fleetKeys.prefix)) found.push({ rule: 'no key reaches a sampler', what: run.attempt });
    const asked = requests.get(run.attempt);
    if (asked) found.push(...ofRun(run, asked, withdrawnAt, boundMs));
    const tenant = tenantOfItem.get(run.attempt);
    if (tenant !== undefined && run.tenant !== tenant)
      found.push({
        rule: 'an item runs under its batch’s tenant',
        what: `${run.attempt}: ${run.tenant}, not ${tenant}`,
      });
  }
  for (const { attempt, key, status } of seen.asked)
    if (fleetKeys.lasts(key) && (status === 401 || status === 403))
      found.push({ rule: 'a key that every configuration holds is not refused', what: `${attempt} got ${status}` });
  return found;
};
