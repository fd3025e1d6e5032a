import { connect, createServer as createNetServer, type Socket } from "node:net";
import { createServer as createHttpServer } from "node:http";
import { VirtualClock } from "../packages/emulator/src/virtual/clock.js";
import { VirtualState } from "../packages/emulator/src/virtual/service-links.js";
import { TokenBucket } from "@thorntrail/protocol/token-bucket";
import type { JobSpec } from "../packages/protocol/src/jobs.js";
import { StateReplica } from "../src/ledger/state-replica.js";
import { keys, type JobRecord } from "../src/ledger/records.js";
import { JobDependencies } from "../src/pipelines/job-dependencies.js";
import { RentalIndex } from "../src/ledger/rentals.js";
import { addTaskSet, newPartition } from "../src/partitions/partition.js";
import { systemClock } from "../src/platform/clock.js";
import { CpuAccounting } from "../src/platform/cpu-accounting.js";
import { Scope } from "../src/platform/scope.js";
import { openLog } from "../src/platform/log.js";
import { Bits } from "../src/platform/bits.js";
import { newTaskSet } from "../src/queue/task-set.js";
import { newMachine } from "../src/workers/machine.js";
import { ReportFastPath } from "../src/workers/report-fast-path.js";
import { callsFor } from "../test/world/calls.js";

/** Bytes that one more of a thing takes of a controller: heap and buffers after a collection. */
async function each(count: number, make: (i: number) => unknown): Promise<number> {
  const held: unknown[] = new Array<unknown>(count);
  const size = async (): Promise<number> => {
    for (let i = 0; i < 3; i++) {
      (globalThis as { gc?: () => void }).gc?.();
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  };
  const before = await size();
  for (let i = 0; i < count; i++) held[i] = make(i);
  await new Promise((resolve) => setTimeout(resolve, 200));
  const after = await size();
  return held.length === 0 ? 0 : (after - before) / count;
}

const text = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;
const refOf = (i: number): string => `run-${String(i).padStart(6, "0")}`;

function specOf(i: number): JobSpec {
  return {
    ...{ ref: refOf(i), klass: "fotos", team: "mesa-azuay", kind: "array", urgency: "low", tasks: 30, cpus: 10 + (i % 7) / 10, gpus: 1 },
    ...{ ram: 36 + (i % 11) / 10, types: null, zone: null, oneZone: false, spread: false, spot: true, image: `img-0${i % 5}` },
    ...{ imageGb: 5 + (i % 5) / 10, guessS: 40 + (i % 97) / 10, checkpointS: 0, flushS: 0, deadlineS: null },
  };
}

/** A job as it is kept; `end`: it is done. */
export function jobRecordOf(i: number, end: boolean): JobRecord {
  return { spec: specOf(i), part: i % 2, hi: 30, done: end ? "/////w==" : "", at: 1.7e12 + i, ...(end ? { end: "done" } : {}) };
}

/** A replica of the state that follows nothing. */
export function mirrorHere(): StateReplica {
  const clock = new VirtualClock();
  const client = new VirtualState(clock, () => 5, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 }).client("n", (fn) => fn());
  const mirror = new StateReplica(
    client,
    clock,
    new TokenBucket(clock, 1000),
    { readGapMs: 0, blockMs: 1000 },
    callsFor(clock).of("state.read"),
  );
  new RentalIndex(mirror);
  new JobDependencies(mirror);
  return mirror;
}

/** As they come from the state service: each record parsed from its own text. */
async function jobs(count: number, end: boolean): Promise<number> {
  const mirror = mirrorHere();
  return each(count, (i) => {
    const { k, v } = text({ k: keys.job(refOf(i)), v: jobRecordOf(i, end) }) as { k: string; v: JobRecord };
    mirror.put(k, v, i + 1);
    return mirror;
  });
}

async function connections(count: number): Promise<number> {
  const scope = new Scope(systemClock, openLog("measure"), new CpuAccounting());
  const server = createNetServer({ noDelay: true, allowHalfOpen: true });
  const door = {
    onReport: () => ({ kind: "silent" }) as const,
    countResponse: () => undefined,
    onInvalidReport: () => undefined,
    costs: scope.costs,
  };
  new ReportFastPath({ endpoint: door, httpServer: createHttpServer(), isNearSocketLimit: () => false, scope, idleMs: 60_000 }).start(
    server,
  );
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const body = JSON.stringify({
    host: "i-000001",
    build: "m",
    yard: "a",
    loaner: false,
    shift: 1,
    tick: 1,
    baton: 0,
    warningS: null,
    pieces: [],
  });
  const request = `POST /v1/report HTTP/1.1\r\nhost: a\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
  const clients: Socket[] = [];
  // Both ends live here; a plain client end is measured by itself and taken off.
  const both = await each(count, () => {
    const socket = connect({ host: "127.0.0.1", port }, () => socket.write(request));
    clients.push(socket);
    return socket.on("data", () => undefined);
  });
  for (const socket of clients) socket.destroy();
  server.close();
  scope.close();
  return both / 2;
}

/** Bytes of one more of each, by name. */
export async function memoryEach(quick: boolean): Promise<Record<string, number>> {
  const count = quick ? 4000 : 20_000;
  const part = newPartition(0, 1, 0);
  return {
    finished_job_bytes: await jobs(count, true),
    open_job_record_bytes: await jobs(count, false),
    queued_job_bytes: await each(count, (i) => {
      const unit = newTaskSet(keys.job(refOf(i)), specOf(0), 0, 30, new Bits(30), 0, 0);
      addTaskSet(part, unit);
      return unit;
    }),
    machine_bytes: await each(count, (i) => newMachine(`i-${i}`, "fotolab", "sala-cuenca", true, { cpus: 96, gpus: 8, ram: 384 }, i)),
    connection_bytes: await connections(quick ? 200 : 800),
  };
}
