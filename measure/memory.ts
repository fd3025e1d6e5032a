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

/** Measures the memory that job records, queued jobs, machines and workers' connections take in a controller. */

/** Returns the bytes that each of `count` items adds to heap and buffers, after garbage collection. */
async function bytesPerItem(count: number, create: (i: number) => unknown): Promise<number> {
  const held: unknown[] = new Array<unknown>(count);
  const heldBytes = async (): Promise<number> => {
    for (let i = 0; i < 3; i++) {
      (globalThis as { gc?: () => void }).gc?.();
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  };
  const before = await heldBytes();
  for (let i = 0; i < count; i++) held[i] = create(i);
  await new Promise((resolve) => setTimeout(resolve, 200));
  const after = await heldBytes();
  return held.length === 0 ? 0 : (after - before) / count;
}

const jsonRoundTrip = (value: unknown): unknown => JSON.parse(JSON.stringify(value)) as unknown;
const jobRef = (i: number): string => `run-${String(i).padStart(6, "0")}`;

function jobSpec(i: number): JobSpec {
  return {
    ...{ ref: jobRef(i), klass: "fotos", team: "mesa-azuay", kind: "array", urgency: "low", tasks: 30, cpus: 10 + (i % 7) / 10, gpus: 1 },
    ...{ ram: 36 + (i % 11) / 10, types: null, zone: null, oneZone: false, spread: false, spot: true, image: `img-0${i % 5}` },
    ...{ imageGb: 5 + (i % 5) / 10, guessS: 40 + (i % 97) / 10, checkpointS: 0, flushS: 0, deadlineS: null },
  };
}

/** Returns the state service's record of job `i`, which is done if `end` is true. */
export function jobRecord(i: number, end: boolean): JobRecord {
  return { spec: jobSpec(i), part: i % 2, hi: 30, done: end ? "/////w==" : "", at: 1.7e12 + i, ...(end ? { end: "done" } : {}) };
}

/** Returns a state replica that does not follow the state service. */
export function detachedReplica(): StateReplica {
  const clock = new VirtualClock();
  const client = new VirtualState(clock, () => 5, { rps: 100, writeRps: 25, valueKb: 32, txnOps: 16 }).client("n", (fn) => fn());
  const replica = new StateReplica(
    client,
    clock,
    new TokenBucket(clock, 1000),
    { readGapMs: 0, blockMs: 1000 },
    callsFor(clock).of("state.read"),
  );
  new RentalIndex(replica);
  new JobDependencies(replica);
  return replica;
}

/** Returns the bytes per job record in the replica. Each record is parsed from its own text, as it is when it is received. */
async function jobRecordBytes(count: number, end: boolean): Promise<number> {
  const replica = detachedReplica();
  return bytesPerItem(count, (i) => {
    const { k, v } = jsonRoundTrip({ k: keys.job(jobRef(i)), v: jobRecord(i, end) }) as { k: string; v: JobRecord };
    replica.put(k, v, i + 1);
    return replica;
  });
}

/** Returns the bytes per idle connection of a worker after its first report. */
async function connectionBytes(count: number): Promise<number> {
  const scope = new Scope(systemClock, openLog("measure"), new CpuAccounting());
  const server = createNetServer({ noDelay: true, allowHalfOpen: true });
  const endpoint = {
    onReport: () => ({ kind: "silent" }) as const,
    countResponse: () => undefined,
    onInvalidReport: () => undefined,
    costs: scope.costs,
  };
  new ReportFastPath({ endpoint: endpoint, httpServer: createHttpServer(), isNearSocketLimit: () => false, scope, idleMs: 60_000 }).start(
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
  // Both ends of each connection are in this process; each end counts as half.
  const bytesOfBothEnds = await bytesPerItem(count, () => {
    const socket = connect({ host: "127.0.0.1", port }, () => socket.write(request));
    clients.push(socket);
    return socket.on("data", () => undefined);
  });
  for (const socket of clients) socket.destroy();
  server.close();
  scope.close();
  return bytesOfBothEnds / 2;
}

/** Returns the bytes per item of each kind, by name. */
export async function measureMemory(quick: boolean): Promise<Record<string, number>> {
  const count = quick ? 4000 : 20_000;
  const partition = newPartition(0, 1, 0);
  return {
    finished_job_bytes: await jobRecordBytes(count, true),
    open_job_record_bytes: await jobRecordBytes(count, false),
    queued_job_bytes: await bytesPerItem(count, (i) => {
      const taskSet = newTaskSet(keys.job(jobRef(i)), jobSpec(0), 0, 30, new Bits(30), 0, 0);
      addTaskSet(partition, taskSet);
      return taskSet;
    }),
    machine_bytes: await bytesPerItem(count, (i) =>
      newMachine(`i-${i}`, "fotolab", "sala-cuenca", true, { cpus: 96, gpus: 8, ram: 384 }, i),
    ),
    connection_bytes: await connectionBytes(quick ? 200 : 800),
  };
}
