// What KNOWN-RED.txt says, and whether a run of the tests may count as passed beside it. Decided by plain
// functions of the file's text and the results; scripts/test.mjs reads, runs and prints.

/** More than these, and a sitting mends before it adds. */
const MOST = 3;

/** One line each: `test | cause | issue N`. `faults` names what is wrong with the file, by line. */
export function readKnownRed(text) {
  const reds = [];
  const faults = [];
  text.split(/\r?\n/).forEach((line, i) => {
    if (line.trim() === "") return;
    const at = `KNOWN-RED.txt:${i + 1}`;
    // A test's name may hold a bar; a cause and an issue hold none.
    const parts = /^(.+) \| ([^|]*[^|\s][^|]*) \| issue (\d+)\s*$/.exec(line);
    if (parts === null) return faults.push(`${at}: expected "test | cause | issue N", read ${JSON.stringify(line.slice(0, 80))}`);
    const [, test, cause, issue] = parts;
    if (reds.some((red) => red.test === test)) return faults.push(`${at}: ${JSON.stringify(test)} is listed twice`);
    reds.push({ test, cause: cause.trim(), issue: Number(issue), at });
    if (reds.length === MOST + 1) faults.push(`${at}: ${MOST} tests at most may be listed`);
  });
  return { reds, faults };
}

/**
 * `results`: of each test of the top level, its name and whether it passed. `whole`: all tests were run, so
 * that one that is missing has gone. An empty list: the run passes, though the listed tests failed.
 */
export function judge({ reds, faults }, results, whole = true) {
  const wrong = [...faults];
  const listed = new Map(reds.map((red) => [red.test, red]));
  const seen = new Set();
  for (const { name, passed } of results) {
    const red = listed.get(name);
    if (red === undefined) {
      if (!passed) wrong.push(`failed and not listed: ${name}`);
      continue;
    }
    if (seen.has(name)) wrong.push(`${red.at}: more than one test has the name ${JSON.stringify(name)}`);
    seen.add(name);
    if (passed) wrong.push(`${red.at}: ${JSON.stringify(name)} passes: strike it off`);
  }
  if (whole) for (const { test, at } of reds) if (!seen.has(test)) wrong.push(`${at}: no test has the name ${JSON.stringify(test)}`);
  return wrong;
}
