// Lower bounds on price and start delay that hold for any scheduler, computed from the facts of deployments in a JSON file
// (docs/limits-facts.json unless another is named). docs/limits.md explains the figures.
import { readFileSync } from "node:fs";

const facts = JSON.parse(readFileSync(process.argv[2] ?? "docs/limits-facts.json", "utf8"));
for (const site of facts.sites) {
  const pricePerHour = new Map(site.offers.map((offering) => [offering.name, offering.pricePerHour]));
  let lowestCost = 0;
  let workCost = 0;
  for (const work of site.work) {
    // Cost of the useful work at the lowest nominal price per task of all machine offerings that can run it.
    const lowestPricePerTask = Math.min(...work.holds.map((fit) => pricePerHour.get(fit.offer) / fit.tasks));
    lowestCost += (work.taskSeconds / 3600) * lowestPricePerTask;
    // Cost of the same work on the cheapest set of machines that can run `width` tasks at the same time.
    let tasksLeft = work.width;
    let fleetPricePerHour = 0;
    let fleetTasks = 0;
    for (const fit of [...work.holds].sort((a, b) => pricePerHour.get(a.offer) / a.tasks - pricePerHour.get(b.offer) / b.tasks)) {
      const machines = Math.min(site.offers.find((offering) => offering.name === fit.offer).count, Math.ceil(tasksLeft / fit.tasks));
      if (machines <= 0) continue;
      fleetPricePerHour += machines * pricePerHour.get(fit.offer);
      fleetTasks += machines * fit.tasks;
      tasksLeft -= machines * fit.tasks;
      if (tasksLeft <= 0) break;
    }
    workCost += (work.taskSeconds / 3600) * (fleetPricePerHour / fleetTasks);
    const fetchS = work.imageGb / site.fetchGbPerS;
    console.log(
      `${site.name}: ${work.class}: ${work.firstWave} of ${work.jobs} jobs arrive before any machine can have booted (${site.bootS} s); the first fetch of their image takes ${fetchS.toFixed(1)} s`,
    );
  }
  const bootCost = site.offers.reduce(
    (sum, offering) => sum + (offering.used ?? offering.count) * offering.pricePerHour * (offering.bootS / 3600),
    0,
  );
  console.log(
    `${site.name}: price at least ${((workCost + bootCost) / lowestCost).toFixed(2)} times the lowest cost at the required parallelism (boot time ${bootCost.toFixed(2)}, work ${workCost.toFixed(2)}, lowest cost ${lowestCost.toFixed(2)})`,
  );
  console.log(`${site.name}: useful share of the cost at most ${(workCost / (workCost + bootCost)).toFixed(2)}`);
}
