// Reads KNOWN-RED.txt, the list of tests that are known to fail, and decides whether a test run passes in spite of them.
// The functions here have no side effects; scripts/test.mjs reads the file, runs the tests and prints the outcome.

/** Largest number of entries; with more of them, failing tests have to be fixed before others are listed. */
const MAX_ENTRIES = 3;

/** Parses lines of the form `test | cause | issue N`. `errors` describes malformed and duplicate entries with their line numbers. */
export function parseKnownFailures(text) {
  const entries = [];
  const errors = [];
  text.split(/\r?\n/).forEach((line, i) => {
    if (line.trim() === "") return;
    const location = `KNOWN-RED.txt:${i + 1}`;
    // A test name may contain a bar; a cause and an issue may not.
    const fields = /^(.+) \| ([^|]*[^|\s][^|]*) \| issue (\d+)\s*$/.exec(line);
    if (fields === null) return errors.push(`${location}: expected "test | cause | issue N", read ${JSON.stringify(line.slice(0, 80))}`);
    const [, test, cause, issue] = fields;
    if (entries.some((entry) => entry.test === test)) return errors.push(`${location}: ${JSON.stringify(test)} is listed twice`);
    entries.push({ test, cause: cause.trim(), issue: Number(issue), location });
    if (entries.length === MAX_ENTRIES + 1) errors.push(`${location}: at most ${MAX_ENTRIES} tests may be listed`);
  });
  return { entries, errors };
}

/**
 * Returns the reasons why a run does not pass; an empty list means that it passes although the listed tests failed.
 * `results`: name and outcome of each top-level test. `complete`: all tests were run, so a listed test without a result
 * does not exist.
 */
export function findProblems({ entries, errors }, results, complete = true) {
  const problems = [...errors];
  const entriesByTest = new Map(entries.map((entry) => [entry.test, entry]));
  const seen = new Set();
  for (const { name, passed } of results) {
    const entry = entriesByTest.get(name);
    if (entry === undefined) {
      if (!passed) problems.push(`failed and not listed: ${name}`);
      continue;
    }
    if (seen.has(name)) problems.push(`${entry.location}: more than one test has the name ${JSON.stringify(name)}`);
    seen.add(name);
    if (passed) problems.push(`${entry.location}: ${JSON.stringify(name)} passes: remove this entry`);
  }
  if (complete)
    for (const { test, location } of entries)
      if (!seen.has(test)) problems.push(`${location}: no test has the name ${JSON.stringify(test)}`);
  return problems;
}
