import type { Amounts, Loads } from "../scale/model.js";
import type { Target } from "../scale/target.js";
import type { Assumptions, Figures } from "./figures.js";

/** Renders the computed tables of docs/CAPACITY.md. Everything else on the page is written by hand. */

const BEGIN_MARKER = "<!-- worked out: npm run capacity -- --write -->";
const END_MARKER = "<!-- worked out: end -->";
/** Processor and memory available to a controller on its machine. */
const CONTROLLER_CORE_BUDGET = 1;
const CONTROLLER_MEMORY_BUDGET_MB = 256;
/** Changes per second that the store sustains on one machine (docs/measured.md). */
const STORE_CAPACITY_CHANGES_PER_S = 12_580;

const formatFigure = (value: number): string =>
  Math.abs(value) >= 100 ? Math.round(value).toLocaleString("en") : Number(value.toPrecision(3)).toString();

function formatTable(head: string[], rows: string[][]): string {
  const widths = head.map((title, i) => Math.max(title.length, 3, ...rows.map((row) => row[i]!.length)));
  const line = (cells: string[]): string => `| ${cells.map((cell, i) => cell.padEnd(widths[i]!)).join(" | ")} |`;
  return [line(head), line(widths.map((width) => "-".repeat(width))), ...rows.map(line)].join("\n");
}

/** Row titles of the amounts. */
const AMOUNT_LABELS: Record<keyof Amounts, string> = {
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

/** A row of the table of loads; `budget` is null where there is no limit to compare with. */
interface LoadRow {
  role: string;
  resource: string;
  load: keyof Loads;
  budget: number | null;
  unit: string;
}

function loadRows(target: Target): LoadRow[] {
  return [
    { role: "worker", resource: "processor", load: "worker_cores", budget: target.worker_core_share, unit: "cores" },
    { role: "worker", resource: "memory", load: "worker_mb", budget: target.worker_memory_mb, unit: "MB" },
    { role: "worker", resource: "messages", load: "worker_bytes_per_s", budget: target.worker_bytes_per_s, unit: "bytes/s" },
    { role: "controller", resource: "processor", load: "controller_cores", budget: CONTROLLER_CORE_BUDGET, unit: "cores" },
    { role: "controller", resource: "memory", load: "controller_mb", budget: CONTROLLER_MEMORY_BUDGET_MB, unit: "MB" },
    { role: "state service", resource: "requests", load: "state_requests_per_s", budget: null, unit: "requests/s" },
    { role: "state service", resource: "changes", load: "state_changes_per_s", budget: STORE_CAPACITY_CHANGES_PER_S, unit: "changes/s" },
    { role: "state service", resource: "processor", load: "store_cores", budget: 1, unit: "cores" },
    { role: "links between controllers", resource: "all together", load: "peer_bytes_per_s", budget: null, unit: "bytes/s" },
  ];
}

/** Renders the text between the two markers of the page. */
export function renderTables(target: Target, assumptions: Assumptions, { hours, controlMachines, quota, failures }: Figures): string {
  const amounts = formatTable(
    ["a region's deployment", ...hours.map(({ name }) => name)],
    (Object.keys(AMOUNT_LABELS) as (keyof Amounts)[]).map((name) => [
      AMOUNT_LABELS[name],
      ...hours.map(({ amounts }) => formatFigure(amounts[name])),
    ]),
  );
  const loads = loadRows(target).map(({ role, resource, load, budget, unit }) => {
    const values = hours.map((hour) => hour.loads[load]);
    const remaining = budget === null ? "-" : `${formatFigure((1 - Math.max(...values) / budget) * 100)}%`;
    return [role, `${resource}, ${unit}`, ...values.map(formatFigure), budget === null ? "-" : formatFigure(budget), remaining];
  });
  const machinesText = `${controlMachines} of ${target.control_machines} machines for control: in each of ${target.regions} regions ${assumptions.state_replicas_a_region} for the state service and ${assumptions.controllers_a_region} for controllers.`;
  return [
    amounts,
    formatTable(["role", "what", "ordinary", "peak", "zone lost", "budget", "room left"], loads),
    machinesText,
    `Quota: ${formatFigure(quota.transfersATeam)} transfers a team that needs all of its limit in one place, ${formatFigure(quota.conflictsATransfer)} conflicts a transfer, over ${assumptions.controllers_a_region} controllers.`,
    `Failures: ${formatFigure(failures.startsAgainADay)} tasks start again a day; a controller's partition is back after at most ${formatFigure(failures.recoveredS)} s.`,
  ].join("\n\n");
}

/** Returns the page with `tables` between its markers. Throws if a marker is missing. */
export function replaceTables(page: string, tables: string): string {
  const begin = page.indexOf(BEGIN_MARKER);
  const end = page.indexOf(END_MARKER);
  if (begin < 0 || end < begin) throw new Error(`capacity page: expected a line ${BEGIN_MARKER} and a line ${END_MARKER} after it`);
  return `${page.slice(0, begin)}${BEGIN_MARKER}\n\n${tables}\n\n${page.slice(end)}`;
}
