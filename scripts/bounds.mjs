// Lower bounds on what any scheduler could miss, from facts of a site given as
// JSON (docs/limits-facts.json). Prints one line an aim; docs/limits.md explains.
import { readFileSync } from "node:fs";

const facts = JSON.parse(readFileSync(process.argv[2] ?? "docs/limits-facts.json", "utf8"));
for (const site of facts.sites) {
  const price = new Map(site.offers.map((o) => [o.name, o.pricePerHour]));
  let least = 0;
  let bought = 0;
  for (const work of site.work) {
    // Useful work at the lowest nominal price of any offer it could use.
    const cheapest = Math.min(...work.holds.map((h) => price.get(h.offer) / h.tasks));
    least += (work.taskSeconds / 3600) * cheapest;
    // The same work on the cheapest mix that can hold it at the width it needs.
    let width = work.width;
    let spent = 0;
    let held = 0;
    for (const h of [...work.holds].sort((a, b) => price.get(a.offer) / a.tasks - price.get(b.offer) / b.tasks)) {
      const machines = Math.min(site.offers.find((o) => o.name === h.offer).count, Math.ceil(width / h.tasks));
      if (machines <= 0) continue;
      spent += machines * price.get(h.offer);
      held += machines * h.tasks;
      width -= machines * h.tasks;
      if (width <= 0) break;
    }
    bought += (work.taskSeconds / 3600) * (spent / held);
    const fetch = work.imageGb / site.fetchGbPerS;
    console.log(
      `${site.name}: ${work.class}: ${work.firstWave} of ${work.jobs} jobs come before any machine can be up (${site.bootS} s); a first fetch takes ${fetch.toFixed(1)} s`,
    );
  }
  const boots = site.offers.reduce((sum, o) => sum + (o.used ?? o.count) * o.pricePerHour * (o.bootS / 3600), 0);
  console.log(
    `${site.name}: price at least ${((bought + boots) / least).toFixed(2)} at the width given (boot time ${boots.toFixed(2)}, work ${bought.toFixed(2)}, cheapest ${least.toFixed(2)})`,
  );
  console.log(`${site.name}: useful share of money at most ${(bought / (bought + boots)).toFixed(2)}`);
}
