import { spawn, type ChildProcess } from "node:child_process";

/** Manages named child processes, which are killed when this process exits. */
export class Processes {
  private readonly running = new Map<string, ChildProcess>();
  private readonly onParentExit = () => this.killAll();

  constructor(
    /** The program and its first arguments, such as `[node, main.js]`. */
    private readonly program: readonly string[],
    /** Receives each line that a child writes to standard error. */
    private readonly onLine: (name: string, line: string) => void,
    /** Called when a child exits without a call of `kill`; `how` is the signal or the exit code. */
    private readonly onUnexpectedExit: (name: string, how: string) => void,
  ) {
    process.once("exit", this.onParentExit);
  }

  /**
   * Starts a child. Resolves with the first line of its standard output if `awaitFirstLine`, else at once with an empty string.
   * Rejects if a child of that name is running, if the program cannot be started, or if it exits before its first line.
   */
  start(name: string, args: readonly string[], env: Record<string, string>, awaitFirstLine: boolean): Promise<string> {
    // A second child of the same name would replace the running one in the map, which would then never be killed.
    if (this.running.has(name)) return Promise.reject(new Error(`${name} is already running`));
    const [file, ...programArgs] = this.program as [string, ...string[]];
    const child = spawn(file, [...programArgs, ...args], { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, ...env } });
    this.running.set(name, child);
    let errors = "";
    child.stderr!.on("data", (data: Buffer) => {
      errors += data.toString();
      const lines = errors.split("\n");
      errors = lines.pop()!;
      for (const line of lines) this.onLine(name, line);
    });
    return new Promise((resolve, reject) => {
      let out = "";
      child.stdout!.on("data", (data: Buffer) => {
        out += data.toString();
        const end = out.indexOf("\n");
        if (end >= 0) resolve(out.slice(0, end));
      });
      child.once("error", reject);
      child.once("exit", (code, signal) => {
        reject(new Error(`${name} exited before it was ready with ${code ?? signal}: ${errors}`));
        if (this.running.get(name) !== child) return;
        this.running.delete(name);
        this.onUnexpectedExit(name, String(signal ?? code));
      });
      if (!awaitFirstLine) resolve("");
    });
  }

  /** Sends the signal, by default SIGKILL; resolves once the child has exited. */
  kill(name: string, signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
    const child = this.running.get(name);
    this.running.delete(name);
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
    return new Promise((resolve) => {
      child.once("exit", () => resolve());
      child.kill(signal);
    });
  }

  /** Returns the process id; undefined if no child of that name is running. */
  pid(name: string): number | undefined {
    return this.running.get(name)?.pid;
  }

  /** Stops the child with SIGSTOP (`on`) or continues it with SIGCONT. */
  freeze(name: string, on: boolean): void {
    this.running.get(name)?.kill(on ? "SIGSTOP" : "SIGCONT");
  }

  /** Kills all children with SIGKILL and stops listening for the exit of this process. */
  killAll(): void {
    for (const child of this.running.values()) child.kill("SIGKILL");
    this.running.clear();
    process.off("exit", this.onParentExit);
  }
}
