/** Two gangs, each of which needs all machines of a type: does either of them run? */
import { runCase, sleep } from "../lib-2/cluster.mjs";
import { AUSTRO_PRENSA, job } from "../lib-2/sites.mjs";

/** Longest time for which a job may wait beside room. */
const BOUND_MS = 90_000;

await runCase(import.meta.dirname, AUSTRO_PRENSA, async (cluster, trouble) => {
  const { names } = cluster;
  await cluster.startStore();
  await cluster.startPlatform();
  const { platform } = cluster;
  // Machines may be up within a second or two.
  platform.bootFactor = 0.06;
  platform.runMs = ({ ref, piece }) => (ref === "run-000200" ? 1000 + 600 * Number(piece.split("/")[1]) : 5000);
  await cluster.startControllers();
  const task = { cpus: 50, ramGb: 36, guessS: 5, urgency: "urgent" };
  // Each task takes more than half of a `fotolab`, of which the cloud has nine.
  await cluster.submit(names[2], job(200, { ...task, pieces: 4, lane: "tiras" }));
  const machines = async (count) => {
    for (let i = 0; platform.machines.size < count; i++) {
      if (i > 200) throw new Error(`${count} machines were not rented`);
      await sleep(50);
    }
  };
  await machines(4);
  const gang = { ...task, shape: "gang", pieces: 9, lane: "retrato" };
  const jobs = [job(100, gang), job(101, { ...gang, desk: "mesa-loja" })];
  const [one, other] = jobs;
  const isDone = async ({ ref }) => (await cluster.poll(names[0], ref))?.body.status === "done";
  await cluster.submit(names[0], one);
  await machines(9);
  await sleep(2500);
  if (trouble) await cluster.submit(names[1], other);

  // Time since which nine machines have been up without a task, so that either gang would fit.
  let roomSince = null;
  while (Date.now() - cluster.startedAt < 113_000) {
    await sleep(1000);
    const up = [...platform.machines.values()].filter(({ status }) => status === "running").length;
    const busy = platform.onMachines().length;
    cluster.note(`${up} machines up, ${busy} tasks on machines`);
    roomSince = up >= 9 && busy === 0 ? (roomSince ?? Date.now()) : null;
    const submitted = jobs.filter(({ ref }) => platform.jobs.has(ref));
    const done = await Promise.all(submitted.map(isDone));
    if (done.every(Boolean)) {
      if (submitted.length === 2) return null;
      await cluster.submit(names[1], other);
      roomSince = null;
    }
    if (roomSince !== null && Date.now() - roomSince > BOUND_MS)
      return `accepted gangs waited ${BOUND_MS / 1000} s beside nine idle machines that hold either of them`;
  }
  throw new Error("not decided in time");
});
