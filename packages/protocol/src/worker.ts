import * as z from "zod";

export type TaskState = "fetching" | "gathering" | "running" | "saving" | "exited";
export type ExitCause = "done" | "stopped" | "mates_gone" | "alone" | "error" | "no_room" | "busy" | "no_such";

export interface ReportedTask {
  piece: string;
  attempt: number;
  state: TaskState;
  cause: ExitCause | null;
  saved: boolean;
}

export interface Report {
  host: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  session: number;
  seq: number;
  token: number;
  noticeS: number | null;
  tasks: ReportedTask[];
}

export type Order =
  | { verb: "start"; piece: string; attempt: number }
  | { verb: "stop"; piece: string; attempt: number; graceS: number }
  | { verb: "clear"; piece: string; attempt: number };

const TASK_STATES: ReadonlySet<unknown> = new Set<TaskState>(["fetching", "gathering", "running", "saving", "exited"]);
const TASK_ID_PATTERN = /^.+\/\d+$/;

type JsonObject = Record<string, unknown>;

const isRecord = (raw: unknown): raw is JsonObject => typeof raw === "object" && raw !== null;
const isCount = (raw: unknown): raw is number => Number.isSafeInteger(raw) && (raw as number) >= 0;
/** A field that may be null may equally be omitted. */
const isNullish = (raw: unknown): raw is null | undefined => raw === null || raw === undefined;
const optionalText = (raw: unknown): string | null => (raw === undefined ? "" : typeof raw === "string" ? raw : null);

function decodeTask(raw: unknown): ReportedTask | null {
  if (!isRecord(raw)) return null;
  const { piece, try: attempt, status, cause, kept } = raw;
  if (typeof piece !== "string" || !TASK_ID_PATTERN.test(piece) || !isCount(attempt) || !TASK_STATES.has(status)) return null;
  if (!isNullish(cause) && typeof cause !== "string") return null;
  if (!isNullish(kept) && typeof kept !== "boolean") return null;
  return { piece, attempt, state: status as TaskState, cause: (cause ?? null) as ExitCause | null, saved: kept ?? false };
}

/**
 * A worker's report in our names; null if it is not one. By hand, since hundreds come a second
 * and a general validator took most of what a report cost (docs/measured.md).
 */
export function decodeReport(raw: unknown): Report | null {
  if (!isRecord(raw)) return null;
  const { host, loaner, shift, tick, baton, warningS, pieces } = raw;
  const addr = optionalText(raw["addr"]);
  const type = optionalText(raw["build"]);
  const zone = optionalText(raw["yard"]);
  if (typeof host !== "string" || host === "" || addr === null || type === null || zone === null) return null;
  if (!isNullish(loaner) && typeof loaner !== "boolean") return null;
  if (!isCount(shift) || !isCount(tick) || (!isNullish(baton) && !isCount(baton))) return null;
  if (!isNullish(warningS) && !Number.isFinite(warningS)) return null;
  if (!isNullish(pieces) && !Array.isArray(pieces)) return null;
  const tasks: ReportedTask[] = [];
  for (const piece of pieces ?? []) {
    const task = decodeTask(piece);
    if (task === null) return null;
    tasks.push(task);
  }
  if (hasDuplicateAttempts(tasks)) return null;
  return {
    host,
    addr,
    type,
    zone,
    spot: loaner ?? false,
    session: shift,
    seq: tick,
    token: baton ?? 0,
    noticeS: (warningS ?? null) as number | null,
    tasks,
  };
}

/** Of an attempt that is listed in two states, neither can be believed. */
function hasDuplicateAttempts(tasks: readonly ReportedTask[]): boolean {
  if (tasks.length < 2) return false;
  return new Set(tasks.map(({ piece, attempt }) => `${piece}#${attempt}`)).size < tasks.length;
}

export function encodeOrders(orders: Order[]): Record<string, unknown>[] {
  return orders.map((order) =>
    order.verb === "stop"
      ? { verb: "stop", piece: order.piece, try: order.attempt, windDownS: order.graceS }
      : { verb: order.verb, piece: order.piece, try: order.attempt },
  );
}

export type ReportAnswer =
  { kind: "orders"; token: number; orders: Order[] } | { kind: "elsewhere"; boss: string | null } | { kind: "silent" };

/** `executed` false: the worker refused all of it and says how it stands. */
export interface CommandReply {
  executed: boolean;
  report: Report;
}

/** Commands sent straight to workers; scenarios stand in for it. */
export interface WorkerApi {
  /** `limitMs`: given up after this long. */
  command(addr: string, token: number, session: number, orders: Order[], limitMs?: number): Promise<CommandReply>;
}

/** A report as workers send it. */
export function encodeReport(report: Report): Record<string, unknown> {
  return {
    host: report.host,
    addr: report.addr,
    build: report.type,
    yard: report.zone,
    loaner: report.spot,
    shift: report.session,
    tick: report.seq,
    baton: report.token,
    warningS: report.noticeS,
    pieces: report.tasks.map((task) => ({
      piece: task.piece,
      try: task.attempt,
      status: task.state,
      ...(task.cause === null ? {} : { cause: task.cause }),
      ...(task.saved ? { kept: true } : {}),
    })),
  };
}

const count = z.number().int().min(0);

const ordersSchema = z.object({
  baton: count.nullish(),
  shift: count.nullish(),
  orders: z
    .array(
      z.object({
        verb: z.enum(["start", "stop", "clear"]),
        piece: z.string().regex(/^.+\/\d+$/),
        try: count,
        windDownS: z.number().nullish(),
      }),
    )
    .nullish(),
});

/** Orders as they come to a worker, with token and session; null: not what the protocol says. */
export function decodeOrders(raw: unknown): { token: number | null; session: number | null; orders: Order[] } | null {
  const parsed = ordersSchema.safeParse(raw);
  if (!parsed.success) return null;
  const { baton, shift, orders } = parsed.data;
  return {
    token: baton ?? null,
    session: shift ?? null,
    orders: (orders ?? []).map((o): Order =>
      o.verb === "stop"
        ? { verb: "stop", piece: o.piece, attempt: o.try, graceS: o.windDownS ?? 0 }
        : { verb: o.verb, piece: o.piece, attempt: o.try },
    ),
  };
}
