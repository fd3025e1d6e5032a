// node scripts/own-days.mjs [--json] REPORT.json...
// Evaluates the day reports of the benchmark and prints one table row per day. docs/baseline/own-days.md defines "served".
// Exit code 1: on some day a rule was broken, a process ended by itself, the processor limit was exceeded, most submissions
// stayed unanswered, or less than half of a class, of its largest jobs or of a team was served.
// Exit code 2: invalid arguments, or a file that is no report.
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { parseArgs } from "node:util";

/** A day on which a smaller share of a class or a team was served fails: a requirement of the users. */
const MIN_SERVED_SHARE = 0.5;
/** A day that took more processor time fails. */
const MAX_PROCESSOR_SECONDS = 400;

/** Paths of the required members of a report and their types. */
const REQUIRED_MEMBERS = {
  "rules_broken.total": "number",
  classes: "object",
  teams: "object",
  "fleet.tasks_started": "number",
  "fleet.tasks_done": "number",
  "users.submitted": "number",
  "users.accepted": "number",
  "spent.world": "object",
  "spent.processes": "object",
  node_stats: "object",
  targets: "object",
};

class InvalidInputError extends Error {}

/** Returns the member at a path of names separated by dots, or undefined. */
const memberAt = (value, path) => path.split(".").reduce((inner, key) => inner?.[key], value);

/** Reads and validates a report; throws InvalidInputError. */
function loadReport(file) {
  let text;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new InvalidInputError(`${file}: cannot read the report (${error.code ?? error.message})`);
  }
  let report;
  try {
    report = JSON.parse(text);
  } catch {
    throw new InvalidInputError(`${file}: expected the report of a day, found invalid JSON`);
  }
  for (const [path, type] of Object.entries(REQUIRED_MEMBERS)) {
    const member = memberAt(report, path);
    if (typeof member !== type || member === null)
      throw new InvalidInputError(`${file}: expected the report of a day, but ${path} is not of type ${type}`);
  }
  return report;
}

const ratio = (part, whole) => (whole > 0 ? part / whole : null);
const sum = (numbers) => numbers.reduce((a, b) => a + b, 0);

/** Returns the figures of a day and the reasons why it failed, if any. */
export function evaluateDay(name, report) {
  const classes = Object.entries(report.classes).map(([klass, { jobs, started, done, cancelled = 0 }]) => ({
    name: klass,
    jobs,
    started: ratio(started, jobs),
    // Jobs that their users cancelled did not have to be completed.
    done: ratio(done, jobs - cancelled),
  }));
  const teams = Object.entries(report.teams).map(([team, { jobs, started }]) => ({ name: team, jobs, started: ratio(started, jobs) }));
  // Older reports have no figures on the largest jobs of each class.
  const largest = Object.entries(report.largest ?? {}).map(([klass, { jobs, started }]) => ({
    name: klass,
    jobs,
    started: ratio(started, jobs),
  }));
  const unplannedRestarts = report.node_stats.map((node) => (node.restarts ?? []).filter(({ why }) => why !== "fault").length);
  const processorSeconds = sum([...report.spent.world, ...report.spent.processes]);
  const day = {
    name,
    rules: report.rules_broken.total,
    ended: sum(unplannedRestarts),
    seconds: Math.round(processorSeconds),
    memoryMb: Math.round(Math.max(...report.node_stats.map((node) => node.memory_peak_mb))),
    sockets: Math.max(...report.node_stats.map((node) => node.connections_peak)),
    accepted: ratio(report.users.accepted, report.users.submitted),
    submit: report.targets.find(({ kind }) => kind === "submit")?.value ?? null,
    tasksDone: ratio(report.fleet.tasks_done, report.fleet.tasks_started),
    useful: report.fleet.useful ?? null,
    price: report.fleet.price ?? null,
    classes,
    teams,
    largest,
    unread: report.unread ?? [],
  };
  const faults = [];
  if (day.rules > 0) faults.push(`${day.rules} times a rule was broken`);
  if (day.ended > 0) faults.push(`${day.ended} processes ended by themselves`);
  if (processorSeconds > MAX_PROCESSOR_SECONDS) faults.push(`${day.seconds} processor seconds`);
  if (day.accepted !== null && day.accepted < MIN_SERVED_SHARE) faults.push("most submissions stayed unanswered");
  for (const { name: klass, done } of classes)
    if (done !== null && done < MIN_SERVED_SHARE) faults.push(`${klass}: ${done.toFixed(2)} done`);
  for (const { name: team, started } of teams)
    if (started !== null && started < MIN_SERVED_SHARE) faults.push(`team ${team}: ${started.toFixed(2)} started`);
  for (const { name: klass, started } of largest)
    if (started !== null && started < MIN_SERVED_SHARE) faults.push(`largest of ${klass}: ${started.toFixed(2)} started`);
  return { ...day, faults };
}

const formatRatio = (value) => (value === null ? "-" : value.toFixed(2));

/** Formats a day as a row of the Markdown table. */
function formatRow(day) {
  const classes = day.classes.map(({ name, started, done }) => `${name} ${formatRatio(started)}/${formatRatio(done)}`).join(", ");
  const teams = day.teams.filter(({ started }) => started !== null).sort((a, b) => a.started - b.started);
  const leastServedTeam = teams.length === 0 ? "-" : `${teams[0].name} ${formatRatio(teams[0].started)}`;
  const largest = day.largest.filter(({ started }) => started !== null).map(({ name, started }) => `${name} ${formatRatio(started)}`);
  const figures = [day.rules, day.ended, day.seconds, day.memoryMb, day.sockets, formatRatio(day.accepted), formatRatio(day.submit)];
  return `| ${[day.name, ...figures, formatRatio(day.useful), classes, largest.join(", ") || "-", leastServedTeam, day.faults.join("; ") || "no"].join(" | ")} |`;
}

function main() {
  const { values, positionals } = parseArgs({ allowPositionals: true, options: { json: { type: "boolean", default: false } } });
  if (positionals.length === 0) throw new InvalidInputError("no file given: expected one or more reports of days");
  const days = positionals.map((file) => evaluateDay(basename(file).replace(/\.json$/, ""), loadReport(file)));
  if (values.json) console.log(JSON.stringify(days));
  else {
    console.log("| day | rules | ended | s | MB | sockets | accepted | in time | useful | started/done | largest | least team | failed |");
    console.log("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const day of days) console.log(formatRow(day));
  }
  return days.some(({ faults }) => faults.length > 0) ? 1 : 0;
}

try {
  process.exitCode = main();
} catch (error) {
  if (!(error instanceof InvalidInputError) && !String(error.code).startsWith("ERR_PARSE_ARGS")) throw error;
  console.error(error.message.split("\n")[0]);
  process.exitCode = 2;
}
