/** The protocol between controllers and workers: reports, commands, and their wire format. */
import * as z from "zod";

/**
 * State of a task attempt on a worker. `fetching`: downloads its image; `gathering`: waits for the other members of its
 * gang; `saving`: saves a final checkpoint after a `stop` command.
 */
export type TaskState = "fetching" | "gathering" | "running" | "saving" | "exited";
/**
 * Why a task attempt exited, or why a worker did not start it. `alone`: the other members of its gang did not start in time;
 * `mates_gone`: members of its gang went missing or were stopped; `no_room`: too little free capacity; `busy`: another attempt of the
 * task is still on the worker; `no_such`: the worker does not know the job.
 */
export type ExitCause = "done" | "stopped" | "mates_gone" | "alone" | "error" | "no_room" | "busy" | "no_such";

/** State of one task attempt in a worker's report. */
export interface ReportedTask {
  /** ID of the task, such as run-000412/3. */
  taskId: string;
  attempt: number;
  state: TaskState;
  /** Null while the attempt has not exited. */
  cause: ExitCause | null;
  /** Whether a checkpoint of the attempt was saved. */
  saved: boolean;
}

/**
 * A worker's report. A new `session` begins when the worker starts or its lease runs out;
 * `seq` numbers the reports within a session. `token` is the newest ownership token that the
 * worker has accepted. `noticeS` is the time in seconds until the cloud reclaims the
 * machine, or null if the cloud has not announced that.
 */
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

/**
 * A command to a worker about one task attempt. `graceS` is the time in seconds that the task has to stop. `clear` makes the
 * worker discard an exited attempt, which it otherwise keeps in its reports.
 */
export type Order =
  | { verb: "start"; taskId: string; attempt: number }
  | { verb: "stop"; taskId: string; attempt: number; graceS: number }
  | { verb: "clear"; taskId: string; attempt: number };

const TASK_STATES: ReadonlySet<unknown> = new Set<TaskState>(["fetching", "gathering", "running", "saving", "exited"]);
const TASK_ID_PATTERN = /^.+\/\d+$/;

type JsonObject = Record<string, unknown>;

const isRecord = (raw: unknown): raw is JsonObject => typeof raw === "object" && raw !== null;
const isCount = (raw: unknown): raw is number => Number.isSafeInteger(raw) && (raw as number) >= 0;
/** Whether a field has no value: a field of the wire format that may be null may also be omitted. */
const isNullish = (raw: unknown): raw is null | undefined => raw === null || raw === undefined;
const optionalText = (raw: unknown): string | null => (raw === undefined ? "" : typeof raw === "string" ? raw : null);

function decodeTask(raw: unknown): ReportedTask | null {
  if (!isRecord(raw)) return null;
  const { piece: taskId, try: attempt, status, cause, kept } = raw;
  if (typeof taskId !== "string" || !TASK_ID_PATTERN.test(taskId) || !isCount(attempt) || !TASK_STATES.has(status)) return null;
  if (!isNullish(cause) && typeof cause !== "string") return null;
  if (!isNullish(kept) && typeof kept !== "boolean") return null;
  return { taskId, attempt, state: status as TaskState, cause: (cause ?? null) as ExitCause | null, saved: kept ?? false };
}

/**
 * Decodes a worker's report; returns null if it is invalid. The decoder is written by hand
 * because hundreds of reports arrive per second, and a general validator took most of the
 * time to process a report (docs/measured.md).
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
  for (const rawTask of pieces ?? []) {
    const task = decodeTask(rawTask);
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

/** Whether a report lists a task attempt more than once. Such a report is invalid, because none of the entries can be trusted. */
function hasDuplicateAttempts(tasks: readonly ReportedTask[]): boolean {
  if (tasks.length < 2) return false;
  return new Set(tasks.map(({ taskId, attempt }) => `${taskId}#${attempt}`)).size < tasks.length;
}

/** Encodes commands in the worker protocol's format. */
export function encodeOrders(orders: Order[]): Record<string, unknown>[] {
  return orders.map((order) =>
    order.verb === "stop"
      ? { verb: "stop", piece: order.taskId, try: order.attempt, windDownS: order.graceS }
      : { verb: order.verb, piece: order.taskId, try: order.attempt },
  );
}

/**
 * A controller's answer to a worker's report: commands, a redirect to the owner of the
 * machine's partition (`boss`, null if not known), or a refusal that renews no lease (`silent`).
 */
export type ReportAnswer =
  { kind: "orders"; token: number; orders: Order[] } | { kind: "elsewhere"; boss: string | null } | { kind: "silent" };

/** A worker's answer to commands, with a report of its current state. If `executed` is false, the worker refused all commands. */
export interface CommandReply {
  executed: boolean;
  report: Report;
}

/** Interface for commands sent directly to workers; scenario tests replace it by a model. */
export interface WorkerApi {
  /** Sends commands to the worker at `addr`; `limitMs` is the timeout of the call in ms. */
  command(addr: string, token: number, session: number, orders: Order[], limitMs?: number): Promise<CommandReply>;
}

/** Encodes a report in the worker protocol's format. */
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
      piece: task.taskId,
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

/** Decodes commands received by a worker, with token and session (null if not given); returns null if they are invalid. */
export function decodeOrders(raw: unknown): { token: number | null; session: number | null; orders: Order[] } | null {
  const parsed = ordersSchema.safeParse(raw);
  if (!parsed.success) return null;
  const { baton, shift, orders } = parsed.data;
  return {
    token: baton ?? null,
    session: shift ?? null,
    orders: (orders ?? []).map((o): Order =>
      o.verb === "stop"
        ? { verb: "stop", taskId: o.piece, attempt: o.try, graceS: o.windDownS ?? 0 }
        : { verb: o.verb, taskId: o.piece, attempt: o.try },
    ),
  };
}
