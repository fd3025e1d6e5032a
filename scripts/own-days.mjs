// Reads day reports of the bench and prints a row a day; exit 1: a rule is broken, a day failed, or less
// than half of a class, of its largest jobs or of a team was served; exit 2: not a report. What "served" means is in docs/baseline/own-days.md.
//   node scripts/own-days.mjs [--json] REPORT.json...
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { parseArgs } from "node:util";

/** Less of a class or team served fails a day (the users' words); more processor seconds too. */
const LEAST_SHARE = 0.5;
const MOST_SECONDS = 400;

/** What is read of a report: path and how it must look. */
const SHAPE = {
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

class NotAReport extends Error {}

const at = (value, path) => path.split(".").reduce((inner, key) => inner?.[key], value);

function load(file) {
  let text;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw new NotAReport(`${file}: a day's report was expected, it cannot be read (${error.code ?? error.message})`);
  }
  let report;
  try {
    report = JSON.parse(text);
  } catch {
    throw new NotAReport(`${file}: a day's report was expected, this is not JSON`);
  }
  for (const [path, kind] of Object.entries(SHAPE)) {
    const found = at(report, path);
    if (typeof found !== kind || found === null) throw new NotAReport(`${file}: a day's report was expected, ${path} is no ${kind}`);
  }
  return report;
}

const share = (part, whole) => (whole > 0 ? part / whole : null);
const sum = (numbers) => numbers.reduce((a, b) => a + b, 0);

/** One day: what is printed of it, and why it counts as failed. */
export function judge(name, report) {
  const classes = Object.entries(report.classes).map(([klass, { jobs, started, done, cancelled = 0 }]) => ({
    name: klass,
    jobs,
    started: share(started, jobs),
    // What its user cancelled was no longer to be served.
    done: share(done, jobs - cancelled),
  }));
  const teams = Object.entries(report.teams).map(([team, { jobs, started }]) => ({ name: team, jobs, started: share(started, jobs) }));
  // Reports of an earlier bench know nothing of a class's largest jobs.
  const largest = Object.entries(report.largest ?? {}).map(([klass, { jobs, started }]) => ({
    name: klass,
    jobs,
    started: share(started, jobs),
  }));
  const ended = report.node_stats.map((node) => (node.restarts ?? []).filter(({ why }) => why !== "fault").length);
  const seconds = sum([...report.spent.world, ...report.spent.processes]);
  const day = {
    name,
    rules: report.rules_broken.total,
    ended: sum(ended),
    seconds: Math.round(seconds),
    memoryMb: Math.round(Math.max(...report.node_stats.map((node) => node.memory_peak_mb))),
    sockets: Math.max(...report.node_stats.map((node) => node.connections_peak)),
    accepted: share(report.users.accepted, report.users.submitted),
    submit: report.targets.find(({ kind }) => kind === "submit")?.value ?? null,
    tasksDone: share(report.fleet.tasks_done, report.fleet.tasks_started),
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
  if (seconds > MOST_SECONDS) faults.push(`${day.seconds} processor seconds`);
  if (day.accepted !== null && day.accepted < LEAST_SHARE) faults.push("most submissions stayed unanswered");
  for (const { name: klass, done } of classes) if (done !== null && done < LEAST_SHARE) faults.push(`${klass}: ${done.toFixed(2)} done`);
  for (const { name: team, started } of teams)
    if (started !== null && started < LEAST_SHARE) faults.push(`team ${team}: ${started.toFixed(2)} started`);
  for (const { name: klass, started } of largest)
    if (started !== null && started < LEAST_SHARE) faults.push(`largest of ${klass}: ${started.toFixed(2)} started`);
  return { ...day, faults };
}

const two = (x) => (x === null ? "-" : x.toFixed(2));

function row(day) {
  const classes = day.classes.map(({ name, started, done }) => `${name} ${two(started)}/${two(done)}`).join(", ");
  const teams = day.teams.filter(({ started }) => started !== null).sort((a, b) => a.started - b.started);
  const least = teams.length === 0 ? "-" : `${teams[0].name} ${two(teams[0].started)}`;
  const largest = day.largest.filter(({ started }) => started !== null).map(({ name, started }) => `${name} ${two(started)}`);
  const figures = [day.rules, day.ended, day.seconds, day.memoryMb, day.sockets, two(day.accepted), two(day.submit)];
  return `| ${[day.name, ...figures, two(day.useful), classes, largest.join(", ") || "-", least, day.faults.join("; ") || "no"].join(" | ")} |`;
}

function main() {
  const { values, positionals } = parseArgs({ allowPositionals: true, options: { json: { type: "boolean", default: false } } });
  if (positionals.length === 0) throw new NotAReport("no file given: reports of days were expected, one or more");
  const days = positionals.map((file) => judge(basename(file).replace(/\.json$/, ""), load(file)));
  if (values.json) console.log(JSON.stringify(days));
  else {
    console.log("| day | rules | ended | s | MB | sockets | accepted | in time | useful | started/done | largest | least team | failed |");
    console.log("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const day of days) console.log(row(day));
  }
  return days.some(({ faults }) => faults.length > 0) ? 1 : 0;
}

try {
  process.exitCode = main();
} catch (error) {
  if (!(error instanceof NotAReport) && !String(error.code).startsWith("ERR_PARSE_ARGS")) throw error;
  console.error(error.message.split("\n")[0]);
  process.exitCode = 2;
}
