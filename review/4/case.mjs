/** Several days of finished jobs, then all controllers crash and come back: does any of them end by itself? */
import { runCase, request, sleep } from "../lib-2/cluster.mjs";
import { AUSTRO_PRENSA, job } from "../lib-2/sites.mjs";

/** Jobs a day by the users' page: 12 a minute of `cierre` and 11 a minute of `fotos`. */
const JOBS_PER_DAY = (12 + 11) * 60 * 24;
const DAYS = 7;
const RECORDS_PER_TXN = 100;
/** Time in which the controllers are watched after they were started again. */
const WATCHED_MS = 50_000;
/** A process that ended is back after this time, by the users' page. */
const BACK_AFTER_MS = 6000;

const LOADING = { rps: 100_000, writeRps: 100_000, valueKb: 32, txnOps: 1000 };

await runCase(import.meta.dirname, AUSTRO_PRENSA, async (cluster, trouble) => {
  const { state } = cluster.site;
  const limits = (body) => request(`127.0.0.1:${cluster.adminPort}`, "PUT", "/limits", body);
  const usual = { rps: state.rps, writeRps: state.write_rps, valueKb: state.value_kb, txnOps: state.txn_ops };
  await cluster.startStore();
  await cluster.startPlatform();
  // Machines may be up within a second or two.
  cluster.platform.bootFactor = 0.06;
  await cluster.startControllers();
  const first = job(100, { pieces: 7, cpus: 10, accelerators: 1, ramGb: 36, imageGb: 5, loaner: true, guessS: 3 });
  await cluster.submit("nest-0", first);
  for (let i = 0; ; i++) {
    const answer = await cluster.poll("nest-0", first.ref);
    if (answer?.body.status === "done") break;
    if (i > 30) throw new Error("the first job did not end");
    await sleep(1000);
  }
  await sleep(1000);
  const record = await request(cluster.state, "GET", `/store/t/j/${first.ref}`);
  cluster.note(`record of the first job, as the service keeps it: ${JSON.stringify(record.body.v)}`);

  for (const name of cluster.names) await cluster.kill(name);
  const count = (trouble ? DAYS : 1) * JOBS_PER_DAY;
  await limits(LOADING);
  for (let n = 0; n < count; n += RECORDS_PER_TXN) {
    const apply = Array.from({ length: Math.min(RECORDS_PER_TXN, count - n) }, (_, i) => {
      const ref = `run-${500_000 + n + i}`;
      return { write: `t/j/${ref}`, v: { ...record.body.v, spec: { ...record.body.v.spec, ref } } };
    });
    const answer = await request(cluster.state, "POST", "/txn", { apply });
    if (answer?.status !== 200) throw new Error(`the state service took no history: ${JSON.stringify(answer)}`);
  }
  await limits(usual);
  cluster.note(`${count} finished jobs are kept; the controllers come back`);

  const started = Date.now();
  const due = new Map();
  const healthy = new Set();
  for (const name of cluster.names) cluster.startController(name);
  for (let next = started; Date.now() - started < WATCHED_MS;) {
    for (const { name, at } of cluster.exits) if (!due.has(name) && cluster.processes.get(name).ended) due.set(name, at + BACK_AFTER_MS);
    for (const [name, at] of due)
      if (Date.now() >= at) {
        due.delete(name);
        cluster.startController(name);
      }
    if (Date.now() >= next) {
      next += 5000;
      for (const name of cluster.names) {
        const up = await request(cluster.fronts.get(name), "GET", "/up", undefined, 1000);
        cluster.note(`/up at ${name}: ${up === null ? "no answer" : `${up.status} ${JSON.stringify(up.body)}`}`);
        if (up?.status === 200) healthy.add(name);
      }
      await Promise.all(cluster.names.map((name) => cluster.poll(name, first.ref)));
    }
    await sleep(100);
  }
  const ends = cluster.exits.length;
  cluster.note(`${ends} processes ended by themselves; ${healthy.size} of 3 controllers were healthy at any time`);
  if (ends === 0 && healthy.size < 3) throw new Error("a controller did not become healthy");
  return ends === 0 ? null : `controllers ended by themselves ${ends} times, and ${healthy.size} of 3 were healthy at any time`;
});
