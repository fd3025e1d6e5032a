import { spawn, type ChildProcess } from "node:child_process";

/** Child processes that end with this one, whatever ends it. */
export class Processes {
  private readonly running = new Map<string, ChildProcess>();
  private readonly last = () => this.killAll();

  constructor(
    /** The program and its first arguments, as `[node, main.js]`. */
    private readonly program: readonly string[],
    /** Lines of standard error, with the name of who wrote them. */
    private readonly onLine: (name: string, line: string) => void,
    /** Ended though nobody asked for it. */
    private readonly onEnd: (name: string, how: string) => void,
  ) {
    process.once("exit", this.last);
  }

  /** Resolves with the first line on standard output if `answers`, else once started. */
  start(name: string, args: readonly string[], env: Record<string, string>, answers: boolean): Promise<string> {
    // The first would be forgotten, and left behind.
    if (this.running.has(name)) return Promise.reject(new Error(`${name} runs already`));
    const [file, ...first] = this.program as [string, ...string[]];
    const child = spawn(file, [...first, ...args], { stdio: ["ignore", "pipe", "pipe"], env: { ...process.env, ...env } });
    this.running.set(name, child);
    let errors = "";
    child.stderr!.on("data", (some: Buffer) => {
      errors += some.toString();
      const lines = errors.split("\n");
      errors = lines.pop()!;
      for (const line of lines) this.onLine(name, line);
    });
    return new Promise((resolve, reject) => {
      let out = "";
      child.stdout!.on("data", (some: Buffer) => {
        out += some.toString();
        const end = out.indexOf("\n");
        if (end >= 0) resolve(out.slice(0, end));
      });
      child.once("error", reject);
      child.once("exit", (code, signal) => {
        reject(new Error(`${name} ended at its start with ${code ?? signal}: ${errors}`));
        if (this.running.get(name) !== child) return;
        this.running.delete(name);
        this.onEnd(name, String(signal ?? code));
      });
      if (!answers) resolve("");
    });
  }

  /** Without warning. Resolves once it is gone. */
  kill(name: string, signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
    const child = this.running.get(name);
    this.running.delete(name);
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return Promise.resolve();
    return new Promise((resolve) => {
      child.once("exit", () => resolve());
      child.kill(signal);
    });
  }

  /** Undefined: it does not run. */
  pid(name: string): number | undefined {
    return this.running.get(name)?.pid;
  }

  /** Stands still, and goes on. */
  freeze(name: string, on: boolean): void {
    this.running.get(name)?.kill(on ? "SIGSTOP" : "SIGCONT");
  }

  killAll(): void {
    for (const child of this.running.values()) child.kill("SIGKILL");
    this.running.clear();
    process.off("exit", this.last);
  }
}
