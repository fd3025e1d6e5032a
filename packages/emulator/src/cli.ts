/** What the commands of rehearsals share: words on a terminal, interruption, turns. */

/** A rehearsal that could not be carried out, or did not go well. */
export class CommandFailed extends Error {}

/** Lines on a terminal overwrite each other; elsewhere only what is worth keeping is said. */
export function progressLine(): { say: (text: string) => void; end: () => void } {
  const live = process.stderr.isTTY === true;
  let shown = false;
  return {
    say: (text) => {
      if (live) process.stderr.write(`\r\x1b[K${text}`);
      else process.stderr.write(`${text}\n`);
      shown = live;
    },
    end: () => {
      if (shown) process.stderr.write("\n");
    },
  };
}

/** Aborted by Ctrl-C or a request to end; whatever goes on after `graceMs` is cut off. */
export function abortOnSignal(graceMs = 500): AbortController {
  const stop = new AbortController();
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => {
      stop.abort();
      setTimeout(() => process.exit(130), graceMs).unref();
    });
  }
  return stop;
}

/** The cases of one turn of several: `0/4` has the first, fifth and so on. */
export function selectTurn<T>(all: T[], turn: string | undefined): T[] {
  if (turn === undefined) return all;
  const found = /^(\d{1,3})\/(\d{1,3})$/.exec(turn);
  const [which, of] = [Number(found?.[1]), Number(found?.[2])];
  if (found === null || of < 1 || which >= of) throw new CommandFailed(`--turn ${turn}: expected a turn such as 0/4`);
  return all.filter((_, i) => i % of === which);
}
