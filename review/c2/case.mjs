/** A cheap machine is taken back, a new machine of another type gets its address, and a task starts there. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { AUSTRO, Deployment, FOTOLAB, REDACCION, TEAMS, TROUBLE, job, runCase, sleep } from "../lib/stand-ins.mjs";

const deployment = new Deployment(dirname(fileURLToPath(import.meta.url)), {
  site: AUSTRO,
  builds: [REDACCION, FOTOLAB],
  bootS: 3.2,
  capacity: new Map([
    ["redaccion/sala-cuenca/spot", 2],
    ["redaccion/sala-cuenca/ordinary", 2],
    ["fotolab/sala-cuenca/ordinary", 1],
  ]),
  teams: TEAMS,
});

await runCase(deployment, async () => {
  const { cloud, world } = deployment;
  const only = { builds: ["redaccion"], loaner: true };
  if (!(await deployment.submit("nest-0", job("run-000001", { ...only, guessS: 60 }), 60))) throw new Error("run-000001 was not accepted");
  await deployment.until("run-000001 runs", 25, () => deployment.running("run-000001").length === 1);
  const [{ host }] = deployment.running("run-000001");
  const machine = cloud.machines.get(host);
  if (!(await deployment.submit("nest-0", job("run-000002", { accelerators: 1, lane: "retoque" }), 20))) throw new Error("not accepted");
  const newMachine = () => [...cloud.machines.values()].find(({ build }) => build === FOTOLAB);
  await deployment.until("another machine is rented", 20, () => newMachine() !== undefined);
  const other = newMachine();
  if (TROUBLE) {
    const port = Number(machine.addr.split(":")[1]);
    cloud.portOf = ({ ref }) => (ref === other.ref ? port : 0);
    await new Promise((resolve) => (machine.worker.onAnswered = resolve));
    cloud.take(host, "cheap machine taken back without notice");
  }
  await deployment.until("the new machine is up", 20, () => other.worker !== null);
  await sleep(100);
  if (!(await deployment.submit("nest-0", job("run-000003", { ...only, guessS: 10 }), 10))) throw new Error("run-000003 was not accepted");
  await sleep(12_000);
  return world.events
    .filter(({ kind, piece, host: where }) => kind === "on" && where === other.ref && !piece.startsWith("run-000002/"))
    .map(({ piece }) => `${piece} starts on ${other.ref}, a fotolab; its job allows only redaccion`);
});
