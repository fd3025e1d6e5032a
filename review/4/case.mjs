/** The two tasks of an array end in two partitions while the state service answers slowly: does the job end? */
import { runCase, sleep, slowProxy } from "../lib-2/cluster.mjs";
import { AUSTRO_PRENSA, job } from "../lib-2/sites.mjs";

/** Additional time of each answer of the state service while it is slow. */
const SLOW_MS = 300;
/** Run time of the array's tasks; the second one is faster by less than a thirtieth. */
const RUN_MS = 9000;
const EARLIER_MS = 240;
const ROUNDS = 5;
/** Time after the end of the last task, and after the end of the slow answers, within which the job has to be called done. */
const BOUND_MS = 15_000;

await runCase(import.meta.dirname, AUSTRO_PRENSA, async (cluster, trouble) => {
  const { names } = cluster;
  let delayMs = 0;
  await cluster.startStore();
  const proxy = await slowProxy(cluster.state, () => delayMs);
  cluster.state = proxy.addr;
  await cluster.startPlatform();
  const { platform } = cluster;
  // Machines may be up within a second or two.
  platform.bootFactor = 0.06;
  const endOf = new Map();
  platform.runMs = ({ ref, piece, job: { pieces } }) => {
    if (pieces === 1) return 2000;
    if (!endOf.has(ref)) endOf.set(ref, Date.now() + RUN_MS);
    return Math.max(0, endOf.get(ref) - (piece.endsWith("/0") ? 0 : EARLIER_MS) - Date.now());
  };
  const isDone = async (ref) =>
    (await Promise.all(names.map((name) => cluster.poll(name, ref)))).every((one) => one?.body.status === "done");
  await cluster.startControllers();
  await sleep(1000);
  // A job of one task at each of two controllers leaves a machine in the partition of each.
  const task = { cpus: 40, accelerators: 8, ramGb: 100, guessS: 2 };
  const first = [job(200, task), job(201, { ...task, desk: "mesa-loja" })];
  await Promise.all(first.map((one, i) => cluster.submit(names[i], one)));
  for (let i = 0; !(await Promise.all(first.map(({ ref }) => isDone(ref)))).every(Boolean); i++) {
    if (i > 60) throw new Error("the first jobs did not end");
    await sleep(300);
  }
  await sleep(1000);
  let broken = null;
  for (let round = 0; round < ROUNDS && broken === null; round++) {
    const array = job(100 + round, { ...task, pieces: 2, guessS: RUN_MS / 1000 });
    await cluster.submit(names[0], array);
    for (let i = 0; !endOf.has(array.ref); i++) {
      if (i > 400) throw new Error("the array did not start");
      await sleep(50);
    }
    await sleep(endOf.get(array.ref) - 3000 - Date.now());
    if (trouble) {
      delayMs = SLOW_MS;
      cluster.note(`the state service answers ${SLOW_MS} ms later`);
    }
    await sleep(Math.max(0, endOf.get(array.ref) + 2500 - Date.now()));
    delayMs = 0;
    cluster.note("the state service answers at once again");
    const until = Date.now() + BOUND_MS;
    let done = false;
    while (!done && Date.now() < until) {
      done = await isDone(array.ref);
      await sleep(500);
    }
    const ended = platform.events.filter(({ ref, what }) => ref === array.ref && what === "off (done)").length;
    if (!done && ended < 2) throw new Error("the tasks of the array did not end");
    if (!done) broken = `${array.ref} is not called done ${BOUND_MS / 1000} s after both of its tasks have completed`;
  }
  proxy.close();
  return broken;
});
