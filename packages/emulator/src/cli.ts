/** Helpers of the rehearsal commands: progress output, interruption by signals, and the division of runs between processes. */

/** Thrown when a command cannot be carried out; the message is printed and the class name decides the exit code. */
export class CommandFailed extends Error {}

/**
 * Returns functions that write progress to standard error: on a terminal each text overwrites the last one, elsewhere each is a line.
 * `endProgress` ends the line on a terminal.
 */
export function progressLine(): { showProgress: (text: string) => void; endProgress: () => void } {
  const isTerminal = process.stderr.isTTY === true;
  let lineOpen = false;
  return {
    showProgress: (text) => {
      if (isTerminal) process.stderr.write(`\r\x1b[K${text}`);
      else process.stderr.write(`${text}\n`);
      lineOpen = isTerminal;
    },
    endProgress: () => {
      if (lineOpen) process.stderr.write("\n");
    },
  };
}

/** Returns an `AbortController` that SIGINT, SIGTERM and SIGHUP abort. If the process still runs `graceMs` later, it exits with 130. */
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

/**
 * Returns the elements of `all` that one of several processes runs: the turn `0/4` (process 0 of 4) selects the first, the fifth and
 * so on; undefined selects all. Throws `CommandFailed` if the turn is malformed.
 */
export function selectTurn<T>(all: T[], turn: string | undefined): T[] {
  if (turn === undefined) return all;
  const match = /^(\d{1,3})\/(\d{1,3})$/.exec(turn);
  const [index, count] = [Number(match?.[1]), Number(match?.[2])];
  if (match === null || count < 1 || index >= count) throw new CommandFailed(`--turn ${turn}: expected a turn such as 0/4`);
  return all.filter((_, i) => i % count === index);
}
