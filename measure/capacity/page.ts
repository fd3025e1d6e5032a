import type { Amounts, Loads } from "../scale/model.js";
import type { Target } from "../scale/target.js";
import type { Assumptions, Figures } from "./figures.js";

/** The tables of docs/CAPACITY.md that are worked out. Everything else on the page is written by hand. */

const BEGIN = "<!-- worked out: npm run capacity -- --write -->";
const END = "<!-- worked out: end -->";
/** Of each controller's machine. */
const CONTROLLER_CORES = 1;
const CONTROLLER_MB = 256;
/** What the store of this repository was measured to take on one machine (docs/measured.md). */
const STORE_CHANGES_PER_S = 12_580;

const figure = (value: number): string =>
  Math.abs(value) >= 100 ? Math.round(value).toLocaleString("en") : Number(value.toPrecision(3)).toString();

function tableOf(head: string[], rows: string[][]): string {
  const widths = head.map((title, i) => Math.max(title.length, 3, ...rows.map((row) => row[i]!.length)));
  const line = (cells: string[]): string => `| ${cells.map((cell, i) => cell.padEnd(widths[i]!)).join(" | ")} |`;
  return [line(head), line(widths.map((width) => "-".repeat(width))), ...rows.map(line)].join("\n");
}

const AMOUNTS: Record<keyof Amounts, string> = {
  controllers: "controllers",
  machines: "workers",
  tasks: "tasks running",
  teams: "teams",
  startsPerS: "starts a second",
  smallJobsPerS: "jobs a second",
  pollsPerS: "polls a second",
  arraysEnding: "arrays whose tasks end",
  rentalsPerS: "rentals a second",
  openJobs: "open jobs",
  finishedJobs: "finished jobs",
};

interface Row {
  role: string;
  what: string;
  load: keyof Loads;
  budget: number | null;
  unit: string;
}

function rowsOf(target: Target): Row[] {
  return [
    { role: "worker", what: "processor", load: "worker_cores", budget: target.worker_core_share, unit: "cores" },
    { role: "worker", what: "memory", load: "worker_mb", budget: target.worker_memory_mb, unit: "MB" },
    { role: "worker", what: "messages", load: "worker_bytes_per_s", budget: target.worker_bytes_per_s, unit: "bytes/s" },
    { role: "controller", what: "processor", load: "controller_cores", budget: CONTROLLER_CORES, unit: "cores" },
    { role: "controller", what: "memory", load: "controller_mb", budget: CONTROLLER_MB, unit: "MB" },
    { role: "state service", what: "requests", load: "state_requests_per_s", budget: null, unit: "requests/s" },
    { role: "state service", what: "changes", load: "state_changes_per_s", budget: STORE_CHANGES_PER_S, unit: "changes/s" },
    { role: "state service", what: "processor", load: "store_cores", budget: 1, unit: "cores" },
    { role: "links between controllers", what: "all together", load: "peer_bytes_per_s", budget: null, unit: "bytes/s" },
  ];
}

/** What lies between the markers. */
export function workedOut(target: Target, given: Assumptions, { hours, controlMachines, quota, failures }: Figures): string {
  const amounts = tableOf(
    ["a region's deployment", ...hours.map(({ name }) => name)],
    (Object.keys(AMOUNTS) as (keyof Amounts)[]).map((name) => [AMOUNTS[name], ...hours.map(({ amounts }) => figure(amounts[name]))]),
  );
  const loads = rowsOf(target).map(({ role, what, load, budget, unit }) => {
    const values = hours.map((hour) => hour.loads[load]);
    const room = budget === null ? "-" : `${figure((1 - Math.max(...values) / budget) * 100)}%`;
    return [role, `${what}, ${unit}`, ...values.map(figure), budget === null ? "-" : figure(budget), room];
  });
  const machines = `${controlMachines} of ${target.control_machines} machines for control: in each of ${target.regions} regions ${given.state_replicas_a_region} for the state service and ${given.controllers_a_region} for controllers.`;
  return [
    amounts,
    tableOf(["role", "what", "ordinary", "peak", "zone lost", "budget", "room left"], loads),
    machines,
    `Quota: ${figure(quota.transfersATeam)} transfers a team that needs all of its limit in one place, ${figure(quota.conflictsATransfer)} conflicts a transfer, over ${given.controllers_a_region} controllers.`,
    `Failures: ${figure(failures.startsAgainADay)} tasks start again a day; a controller's partition is back after at most ${figure(failures.recoveredS)} s.`,
  ].join("\n\n");
}

/** The page with its worked-out tables made anew. Throws if it has no place for them. */
export function withTables(page: string, tables: string): string {
  const begin = page.indexOf(BEGIN);
  const end = page.indexOf(END);
  if (begin < 0 || end < begin) throw new Error(`the page: expected a line ${BEGIN} and one ${END} after it`);
  return `${page.slice(0, begin)}${BEGIN}\n\n${tables}\n\n${page.slice(end)}`;
}
