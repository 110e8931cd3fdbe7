// Lots under troubles that overlap beyond what may be lost at once (no disk is lost): kills, freezes and stops of any number
// of stores, cores and fronts, drawn at random; positions, texts, scores, bodies and ends of all lots are checked. No case: it
// failed in two of 26 plays, each time otherwise (REPORT-2.md). Run it after the build of the deploy file:
//     MODE=stores STORES=4 SECS=95 node review/lib2/overlap.mjs
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { call, limitsOfClients, pause, randomId, runCase, startFleet } from './fleet.mjs';
import { startSampler } from './sampler.mjs';
const SECS = Number(process.env.SECS ?? 75),
  MODE = process.env.MODE ?? 'overlap',
  STORES = Number(process.env.STORES ?? 4);
const host = 'ficu95.example';
const [coach, app, model] = ['huvo11a', 'wuno96b', 'daka510000'];
const R = Math.random,
  pick = (a) => a[Math.floor(R() * a.length)];
await runCase(mkdtempSync(join(tmpdir(), 'overlap-')), async ({ record, closing }) => {
  const fleet = await startFleet({ counts: { core: 3, store: STORES, front: 4 }, record });
  closing.push(fleet.stop);
  const failing = new Map();
  const samplers = [];
  const texts = new Map();
  const add = async (o) => {
    const s = await startSampler({
      host: fleet.samplerHost(samplers.length),
      zone: fleet.of('front')[samplers.length % 4].zone,
      controls: fleet.controls,
      record,
      ...o,
    });
    samplers.push(s);
    closing.push(s.close);
  };
  for (let k = 0; k < 6; k++)
    await add({
      service: coach,
      slots: 8,
      models: [model],
      work: (ask) => {
        const f = failing.get(ask.attempt);
        if (f === 'always') return { ms: 100, status: 500 };
        if (f === 'never') return { ms: 50, status: 422 };
        if (R() < 0.02) return { ms: 60, status: 500 };
        return { ms: 40 + R() * 100, events: texts.get(ask.attempt), everyMs: 10 + R() * 60 };
      },
    });
  for (let k = 0; k < 2; k++)
    await add({
      service: app,
      slots: 8,
      work: () => (R() < 0.03 ? { ms: 20, status: 500 } : { ms: 20 + R() * 40, body: 'r' }),
    });
  const rt = { host, timeoutMs: 20000, targetLatencyMs: 400, priorityLevel: 1, maxAttempts: 3 };
  await fleet.configure(
    {
      versionNumber: 5,
      routeTable: [
        {
          ...rt,
          name: 'r',
          pathPrefix: '/pule252/',
          routeType: 'rollout',
          serviceRef: coach,
          resultTargetMs: 12000,
          maxWaitS: 60,
        },
        {
          ...rt,
          name: 's',
          pathPrefix: '/pufi791/',
          routeType: 'idempotent',
          serviceRef: app,
          timeoutMs: 2000,
          maxAttempts: 4,
        },
      ],
      services: [
        {
          name: coach,
          healthPath: '/health',
          maxConnections: 160,
          protocol: 'h1',
          tls: false,
          engine: { slotCount: 8, kvTokenCapacity: 123037, stride: 1, modelList: [{ name: model }] },
        },
        { name: app, healthPath: '/health', maxConnections: 110, protocol: 'h1', tls: false },
      ],
      limits: limitsOfClients,
    },
    0,
  );
  await fleet.ready();
  await pause(3000);
  const fronts = fleet.of('front').map(fleet.frontOf);
  const bad = [];
  const stat = {};
  const note = (k) => (stat[k] = (stat[k] ?? 0) + 1);
  const lots = [];
  let step = 0;
  let calm = false;
  const read = async (lot, after, wait) => {
    const { status, body } = await call(pick(fronts), {
      path: `/api/lots/${lot.id}?afterCursor=${after}`,
      timeoutMs: 2600,
      headers: { Host: host, ...(wait ? { 'Foxdeck-Wait-Time-Ms': '1000' } : {}) },
    });
    note('read ' + status);
    if (status !== 200) lot.why = body.toString().slice(0, 300);
    if (status === 404 && lot.takenAt && Date.now() - lot.takenAt > 1000) {
      bad.push(`LOST 404 for lot ${lot.id} taken ${Date.now() - lot.takenAt} ms before`);
    }
    if (status !== 200) return;
    const a = JSON.parse(body);
    if (a.total !== lot.total) bad.push(`MIXED total ${lot.id} ${a.total}`);
    a.results.forEach((r, i) => {
      const p = after + i;
      const s = JSON.stringify(r);
      if (lot.at[p] === undefined) {
        lot.at[p] = s;
        lot.readAt[p] = Date.now();
        const prev = lot.pos.get(r.identity);
        if (prev !== undefined && prev !== p) bad.push(`TWICE item ${r.identity} at ${prev} and ${p}`);
        lot.pos.set(r.identity, p);
      } else if (lot.at[p] !== s)
        bad.push(`TWICE lot ${lot.id} position ${p}: ${lot.at[p].slice(0, 90)} then ${s.slice(0, 90)}`);
      if (!lot.items.has(r.identity)) bad.push(`MIXED foreign item`);
      if (r.state === 'completed') {
        if (r.text !== texts.get(r.identity).join('\n')) bad.push(`MIXED text ${r.identity} ${r.text.length}`);
        const rid = lot.items.get(r.identity);
        if (!samplers.some((x) => x.runs.some((q) => q.attempt === rid && q.stamp === r.score && q.status === 200)))
          bad.push(`MIXED score ${r.identity}`);
      } else {
        const n = samplers.flatMap((x) => x.runs.filter((q) => q.attempt === r.identity && q.status === 500)).length;
        const nv = samplers.flatMap((x) => x.runs.filter((q) => q.attempt === r.identity && q.status === 422)).length;
        const rr = samplers.flatMap((x) =>
          x.runs.filter((q) => q.attempt === lot.items.get(r.identity) && q.status === 500),
        ).length;
        if (n < 3 && nv < 1 && rr < 4 && !lot.endSent)
          bad.push(`MIXED abandoned ${r.identity} after ${n} 500s, ${nv} 422s, ${rr} reward 500s`);
      }
    });
    if (
      a.results.length === 0 &&
      after < lot.at.length &&
      lot.readAt[after] !== undefined &&
      Date.now() - lot.readAt[after] > 1000
    )
      bad.push(`LOST lot ${lot.id} has nothing at ${after} but ${lot.at.length} were read`);
    return a;
  };
  const trainer = async () => {
    const id = randomId();
    const items = new Map();
    const requests = [];
    for (let g = 0; g < 6; g++)
      for (let k = 0; k < 4; k++) {
        const identity = randomId(),
          rid = randomId();
        items.set(identity, rid);
        texts.set(
          identity,
          Array.from(
            { length: 3 + Math.floor(R() * 12) },
            (_, i) => `${identity.slice(0, 6)} e${i} ${'w'.repeat(Math.floor(R() * 80))}`,
          ),
        );
        const f = R();
        if (f < 0.02) failing.set(identity, 'always');
        else if (f < 0.03) failing.set(identity, 'never');
        requests.push({
          identity,
          path: `/pule252/3/${identity.slice(0, 4)}`,
          body: Buffer.from(identity).toString('base64'),
          tokenCount: 1100,
          groupId: `g${step}-${g}`,
          headers: {
            'Foxdeck-Model-Id': model,
            'Foxdeck-Token-Count': '1016,80',
            'Foxdeck-Prompt-Prefix': `9c2e${step.toString(16)}:1000,${identity.slice(0, 8)}:16`,
          },
          scoringCall: { identity: rid, host, path: '/pufi791/5e07', body: '3q2+7w==' },
        });
      }
    const lot = { id, items, total: 24, at: [], readAt: [], pos: new Map(), statuses: [] };
    lots.push(lot);
    const body = JSON.stringify({ step: step++, modelId: model, minVersion: 1, wanted: 6, requests });
    const sentAt = Date.now();
    for (let t = 0; t < 8 && !lot.takenAt; t++) {
      try {
        const { status } = await call(pick(fronts), {
          method: 'POST',
          path: '/pule252/7c41e0',
          body,
          timeoutMs: 3000,
          headers: { Host: host, 'Foxdeck-Attempt-Id': id, 'Content-Type': 'application/json' },
        });
        lot.statuses.push(status);
        note('post ' + status);
        if (status === 202) lot.takenAt = Date.now();
      } catch (e) {
        lot.statuses.push('x');
        note('post x');
      }
      if (!lot.takenAt) await pause(300);
    }
    if (!lot.takenAt) return;
    const keepOpen = R() < 0.3;
    const until = Date.now() + (keepOpen ? 40000 : 20000);
    while (Date.now() < until && lot.at.length < 24 && !calm) {
      try {
        if (R() < 0.2 && lot.at.length > 0) await read(lot, Math.floor(R() * lot.at.length));
        else await read(lot, lot.at.length, true);
      } catch {
        note('read x');
      }
      if (R() < 0.1) {
        const it = pick([...items.keys()]);
        try {
          const { status, body: b } = await call(pick(fronts), {
            path: `/api/items/${id}?identity=${it}`,
            timeoutMs: 1500,
            headers: { Host: host },
          });
          note('item ' + status);
          if (status === 404 && !lot.pos.has(it) && Date.now() - lot.takenAt > 1000)
            bad.push(`LOST item body 404 ${it}`);
          if (status === 200 && b.toString() !== it) bad.push(`MIXED body ${it}`);
        } catch {}
      }
      await pause(100 + R() * 400);
    }
    if (!keepOpen || lot.at.length === 24) {
      lot.endSent = Date.now();
      for (let t = 0; t < 6 && !lot.endedAt; t++) {
        try {
          const { status } = await call(pick(fronts), {
            method: 'DELETE',
            path: `/api/lots/${id}`,
            timeoutMs: 2600,
            headers: { Host: host },
          });
          note('end ' + status);
          if (status === 200) lot.endedAt = Date.now();
          if (status === 404) bad.push(`LOST 404 at end of ${id}`);
        } catch {}
        if (!lot.endedAt) await pause(300);
      }
    }
  };
  let lastTrouble = 0;
  const chaos = (async () => {
    await pause(3000);
    const end = Date.now() + (SECS - 22) * 1000;
    while (Date.now() < end) {
      const role = pick(MODE === 'stores' ? ['store'] : ['store', 'store', 'store', 'core', 'front']);
      const ms = fleet.of(role);
      const n = 1 + Math.floor(R() * ms.length);
      const chosen = [...ms].sort(() => R() - 0.5).slice(0, n);
      const what = pick(['KILL', 'STOP', 'KILL', 'STOP', 'TERM']);
      await Promise.all(
        chosen.map(async (m) => {
          await pause(R() * 400);
          if (what === 'STOP') {
            fleet.signal(m, 'SIGSTOP');
            await pause(200 + R() * 4000);
            fleet.signal(m, 'SIGCONT');
          } else {
            m.downMs = 100 + R() * 2500;
            fleet.signal(m, 'SIG' + what);
          }
        }),
      );
      await pause(R() * 3000);
    }
    lastTrouble = Date.now();
  })();
  const open = new Set();
  const until = Date.now() + (SECS - 15) * 1000;
  while (Date.now() < until) {
    const one = trainer().finally(() => open.delete(one));
    open.add(one);
    await pause(600);
  }
  await chaos;
  await Promise.race([Promise.all(open), pause(9000)]);
  calm = true;
  await Promise.race([Promise.all(open), pause(6000)]);
  const left = new Set(lots.filter((l) => l.takenAt));
  const t1 = Date.now() + 14000;
  while (left.size && Date.now() < t1) {
    for (const l of [...left]) {
      try {
        let at = 0,
          ok = true;
        for (;;) {
          const a = await read(l, at);
          if (!a) {
            ok = false;
            break;
          }
          at += a.results.length;
          if (a.results.length === 0 || at >= 24) break;
        }
        if (ok && at >= l.at.length) left.delete(l);
        else if (ok) l.short = at;
      } catch {}
    }
    await pause(200);
  }
  for (const l of left)
    bad.push(`LOST lot ${l.id} why ${l.why} at end: read ${l.at.length} before, now ${l.short ?? 'no 200'}`);
  for (const l of lots) {
    const neverTaken = l.statuses.length > 0 && l.statuses.every((s) => s === 503 || s === 429);
    for (const s of samplers)
      for (const r of s.runs)
        if (l.items.has(r.attempt)) {
          if (neverTaken) bad.push(`REFUSED lot ${l.id} ${l.statuses} but ran`);
          if (l.endedAt && r.at > l.endedAt + 3000)
            bad.push(`UNASKED ${r.attempt} ran ${r.at - l.endedAt} ms after the end's ack`);
        }
  }
  const own = fleet.exits.filter((e) => !e.told);
  console.log(
    JSON.stringify(stat),
    'lots',
    lots.length,
    'taken',
    lots.filter((l) => l.takenAt).length,
    'results',
    lots.reduce((s, l) => s + l.at.length, 0),
    'own exits',
    own.length,
  );
  for (const b of [...new Set(bad)].slice(0, 20)) console.log(b);
  console.log('bad', bad.length);
  return bad;
});
