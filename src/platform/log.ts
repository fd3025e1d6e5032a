import pino from "pino";

export type Log = Pick<pino.Logger, "error" | "warn" | "info" | "debug" | "isLevelEnabled">;

/** Structured lines on standard error, as many as `LOG_LEVEL` asks. */
export function openLog(name: string): Log {
  const asked = process.env["LOG_LEVEL"] ?? "info";
  const level = ["error", "warn", "info", "debug"].includes(asked) ? asked : "info";
  return pino(
    { level, base: { node: name }, formatters: { level: (label) => ({ level: label }) } },
    pino.destination({ fd: 2, sync: true }),
  );
}
