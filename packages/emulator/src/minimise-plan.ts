import type { RehearsalPlan } from "./plan.js";

/**
 * Minimises a plan whose run breaks a rule of the protocol: removes faults in halves, quarters and one by one, then entries
 * of its workload in the same way, and keeps each removal after which `breaks` still returns true. `tries` limits the number of runs.
 */
export async function minimisePlan(
  plan: RehearsalPlan,
  breaks: (plan: RehearsalPlan) => Promise<boolean>,
  tries: number,
): Promise<{ plan: RehearsalPlan; runs: number }> {
  let best = plan;
  let runs = 0;
  const removeItems = async <T>(list: readonly T[], min: number, planWith: (kept: T[]) => RehearsalPlan): Promise<void> => {
    let kept = [...list];
    for (let size = Math.ceil(kept.length / 2); size >= 1; size = size === 1 ? 0 : Math.ceil(size / 2)) {
      for (let from = 0; from < kept.length && runs < tries;) {
        const without = [...kept.slice(0, from), ...kept.slice(from + size)];
        if (without.length < min) break;
        const candidate = planWith(without);
        runs++;
        if (await breaks(candidate)) {
          kept = without;
          best = candidate;
        } else from += size;
      }
    }
  };
  await removeItems(best.fault, 0, (fault) => ({ ...best, fault }));
  const dependenciesPresent = (works: RehearsalPlan["work"]): boolean =>
    works.every((one) => one.after === undefined || works.some((other) => other.name === one.after));
  await removeItems(best.work, 1, (work) => (dependenciesPresent(work) ? { ...best, work } : best));
  return { plan: best, runs };
}
