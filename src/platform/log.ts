import pino from "pino";

/** The logger's methods that the service uses. */
export type Log = Pick<pino.Logger, "error" | "warn" | "info" | "debug" | "isLevelEnabled">;

/** Opens a logger that writes structured lines to standard error, at the level in `LOG_LEVEL` (default: info). */
export function openLog(name: string): Log {
  const requested = process.env["LOG_LEVEL"] ?? "info";
  const level = ["error", "warn", "info", "debug"].includes(requested) ? requested : "info";
  return pino(
    { level, base: { node: name }, formatters: { level: (label) => ({ level: label }) } },
    pino.destination({ fd: 2, sync: true }),
  );
}
