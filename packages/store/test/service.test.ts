import assert from "node:assert/strict";
import { spawn, spawnSync, type ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";

const root = mkdtempSync(join(tmpdir(), "store-test-"));
const children = new Set<ChildProcess>();
after(() => {
  for (const child of children) child.kill("SIGKILL");
  rmSync(root, { recursive: true, force: true });
});

interface RunningStore {
  addr: string;
  child: ChildProcess;
}

const MAIN = "target/main.js";

/** Starts a store process on the data folder `dir` and resolves once it serves. `shellPrefix` is run in the same shell first, for example to set a limit. */
function startStore(dir: string, extra: string[] = [], shellPrefix?: string): Promise<RunningStore> {
  const args = [MAIN, "store", "serve", "--listen", "127.0.0.1:0", "--data", dir, ...extra];
  const env = { ...process.env, LOG_LEVEL: "error" };
  const child =
    shellPrefix === undefined
      ? spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"], env })
      : spawn("sh", ["-c", `${shellPrefix}; exec "$0" "$@"`, process.execPath, ...args], { stdio: ["ignore", "pipe", "pipe"], env });
  children.add(child);
  return new Promise((resolve, reject) => {
    let out = "";
    let err = "";
    child.stderr!.on("data", (chunk: Buffer) => (err += chunk.toString()));
    child.stdout!.on("data", (chunk: Buffer) => {
      out += chunk.toString();
      if (out.includes("\n")) resolve({ addr: (JSON.parse(out) as { listening: string }).listening, child });
    });
    child.on("exit", (code) => reject(new Error(`ended with ${code}: ${err}`)));
  });
}

function stopStore({ child }: RunningStore, signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
  return new Promise((resolve) => {
    child.removeAllListeners("exit");
    child.once("exit", () => resolve());
    child.kill(signal);
  });
}

/** Sends a request on a connection of its own; resolves to null if there is no answer. */
function sendRequest(
  addr: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<{ status: number; body: Record<string, unknown> } | null> {
  return new Promise((resolve) => {
    const [host, port] = addr.split(":") as [string, string];
    const req = request({ host, port, method, path, agent: false }, (res) => {
      let text = "";
      res.on("data", (chunk: Buffer) => (text += chunk.toString()));
      res.on("end", () => resolve({ status: res.statusCode!, body: text === "" ? {} : (JSON.parse(text) as Record<string, unknown>) }));
      res.on("error", () => resolve(null));
    });
    req.on("error", () => resolve(null));
    req.end(body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body));
  });
}

const runCommand = (...args: string[]): { status: number | null; out: string; err: string } => {
  const run = spawnSync(process.execPath, [MAIN, "store", ...args], { encoding: "utf8" });
  return { status: run.status, out: run.stdout, err: run.stderr };
};

test("requests are answered as the protocol defines, and invalid ones with the fault", async () => {
  const running = await startStore(join(root, "protocol"));
  const { addr } = running;
  const expectStatus = async (status: number, method: string, path: string, body?: unknown): Promise<Record<string, unknown>> => {
    const answer = await sendRequest(addr, method, path, body);
    assert.equal(answer?.status, status, `${method} ${path} ${JSON.stringify(body)?.slice(0, 80)}: ${JSON.stringify(answer)}`);
    return answer!.body;
  };
  assert.deepEqual(await expectStatus(404, "GET", "/store/a/b"), { ledger: 0 });
  assert.deepEqual(
    await expectStatus(200, "POST", "/txn", { if: [{ k: "a/b", stamp: 0 }], apply: [{ write: "a/b", v: { x: [1, null, "ü"] } }] }),
    {
      ledger: 1,
    },
  );
  assert.deepEqual(await expectStatus(200, "GET", "/store/a/b"), { k: "a/b", v: { x: [1, null, "ü"] }, stamp: 1 });
  assert.deepEqual(await expectStatus(409, "POST", "/txn", { if: [{ k: "a/b", stamp: 0 }], apply: [{ remove: "a/b" }] }), {
    failed: ["a/b"],
    ledger: 1,
  });
  assert.deepEqual(await expectStatus(200, "POST", "/txn", { if: [{ k: "a/b", stamp: 1 }] }), { ledger: 1 });
  const { permit } = await expectStatus(200, "POST", "/leases", { ttlMs: 60_000 });
  await expectStatus(200, "POST", "/txn", {
    apply: [
      { write: "c", v: 1, permit },
      { write: "c/d", v: null },
    ],
  });
  assert.equal((await expectStatus(200, "GET", "/store/c"))["permit"], permit);
  await expectStatus(400, "POST", "/txn", { apply: [{ write: "c", v: 2, permit: 99 }] });
  assert.deepEqual(await expectStatus(200, "GET", "/store?prefix=c&limit=1"), {
    rows: [{ k: "c", v: 1, stamp: 2 }],
    truncated: true,
    ledger: 2,
  });
  assert.deepEqual(await expectStatus(200, "GET", "/store?prefix=c&from=c"), {
    rows: [{ k: "c/d", v: null, stamp: 2 }],
    truncated: false,
    ledger: 2,
  });
  const watch = expectStatus(200, "GET", "/follow?prefix=c&from=2&blockMs=5000");
  await expectStatus(200, "DELETE", `/leases/${String(permit)}`);
  assert.deepEqual(await watch, { ledger: 3, events: [{ remove: "c", stamp: 3 }] });
  await expectStatus(404, "POST", `/leases/${String(permit)}/renew`, {});
  for (const [body, expectedError] of [
    ["{", /not JSON/],
    [{ apply: [{ write: "a b", v: 1 }] }, /apply/],
    [{ apply: [{ write: "a" }] }, /apply/],
    [{ if: [{ k: "a", stamp: -1 }] }, /if\.0\.stamp/],
    [{ apply: Array.from({ length: 17 }, (_, i) => ({ remove: `k${i}` })) }, /17 changes, at most 16/],
    [{ apply: [{ write: "a", v: "x".repeat(33 * 1024) }] }, /more than 32 KiB/],
    [{ apply: [{ write: "a", v: "x".repeat(65 * 1024) }] }, /at most 65536 bytes/],
  ] as const)
    assert.match(String((await expectStatus(400, "POST", "/txn", body))["error"]), expectedError);
  await expectStatus(400, "POST", "/leases", { ttlMs: 99 });
  await expectStatus(400, "GET", "/follow?prefix=c&from=x");
  await expectStatus(400, "GET", "/follow?blockMs=60001");
  await expectStatus(400, "GET", `/store/${"k".repeat(201)}`);
  await expectStatus(404, "GET", "/nothing");
  assert.equal((await expectStatus(404, "GET", "/store/none"))["ledger"], 3, "no refused request was applied");
  await stopStore(running, "SIGTERM");
});

/** Number of clients that write at the same time while the store is killed. */
const CLIENTS = 16;
/** Maximum time to wait until every client has its first answer. */
const FIRST_ANSWERS_TIMEOUT_MS = 30_000;

test("acknowledged writes, history and leases survive kill -9 at any point, and the ledger never goes back", async () => {
  const dir = join(root, "killed");
  const answered = new Map<string, number>();
  let ledger = 0;
  let permit: unknown;
  for (let round = 0; round < 4; round++) {
    const running = await startStore(dir);
    if (round === 0) {
      permit = (await sendRequest(running.addr, "POST", "/leases", { ttlMs: 60_000 }))!.body["permit"];
      await sendRequest(running.addr, "POST", "/txn", { apply: [{ write: "leased", v: 1, permit }] });
    }
    // Each client's last write may have been stored without an answer, so a stored value may be newer than the acknowledged one.
    for (const [key, n] of answered) assert.ok(Number((await sendRequest(running.addr, "GET", `/store/${key}`))!.body["v"]) >= n);
    let killed = false;
    const clients = Array.from({ length: CLIENTS }, async (_, c) => {
      for (let n = 0; !killed; n++) {
        const key = `k/${round}/${c}`;
        const answer = await sendRequest(running.addr, "POST", "/txn", {
          apply: [
            { write: key, v: n },
            { write: `${key}/pair`, v: n },
          ],
        });
        if (answer?.status !== 200) continue;
        answered.set(key, n);
        assert.ok(Number(answer.body["ledger"]) > 0);
        ledger = Math.max(ledger, Number(answer.body["ledger"]));
      }
    });
    await sleep(250 + round * 70);
    // On a busy machine some clients may still wait for their first answer.
    for (let waitedMs = 0; answered.size < (round + 1) * CLIENTS && waitedMs < FIRST_ANSWERS_TIMEOUT_MS; waitedMs += 10) await sleep(10);
    const exited = stopStore(running);
    killed = true;
    await exited;
    await Promise.all(clients);
  }
  const running = await startStore(dir);
  assert.equal(answered.size, 4 * CLIENTS, "each client of each round had an answer");
  for (const [key, n] of answered) {
    const [first, second] = await Promise.all([
      sendRequest(running.addr, "GET", `/store/${key}`),
      sendRequest(running.addr, "GET", `/store/${key}/pair`),
    ]);
    assert.ok(Number(first!.body["v"]) >= n, `${key} was answered`);
    assert.equal(first!.body["v"], second!.body["v"], "no transaction is applied in part");
  }
  const now = Number((await sendRequest(running.addr, "GET", "/store/none"))!.body["ledger"]);
  assert.ok(now >= ledger);
  const followed = await sendRequest(running.addr, "GET", `/follow?from=${now - 20}`);
  assert.equal(followed!.status, 200);
  assert.ok((followed!.body["events"] as unknown[]).length > 0, "the history was kept");
  assert.equal((await sendRequest(running.addr, "POST", `/leases/${String(permit)}/renew`, {}))!.status, 200);
  assert.equal((await sendRequest(running.addr, "GET", "/store/leased"))!.body["permit"], permit);
  await stopStore(running, "SIGTERM");
  const check = JSON.parse(runCommand("check", dir, "--json").out) as { faults: string[]; keys: number };
  assert.deepEqual(check.faults, []);
  assert.equal(check.keys, answered.size * 2 + 1);
});

test("writes to a full disk are answered with 503, and writes acknowledged before and after are kept", async () => {
  const dir = join(root, "full");
  // Limits each file of the store to 4,096 blocks of 512 bytes, so that writes fail as on a full disk.
  const running = await startStore(dir, [], "ulimit -f 4096");
  const value = "x".repeat(30_000);
  let stored = 0;
  let refused = 0;
  for (let i = 0; i < 200 && refused < 3; i++) {
    const answer = await sendRequest(running.addr, "POST", "/txn", {
      apply: [{ write: `k/${String(i).padStart(4, "0")}`, v: `${i}${value}` }],
    });
    if (answer?.status === 200) stored++;
    else {
      if (answer !== null) assert.equal(answer.status, 503, JSON.stringify(answer.body));
      refused++;
    }
  }
  assert.ok(stored > 20 && refused >= 1, `${stored} stored, ${refused} refused`);
  await stopStore(running);
  const restarted = await startStore(dir);
  const rows: unknown[] = [];
  for (let from = ""; ;) {
    const page = (await sendRequest(restarted.addr, "GET", `/store?prefix=k/${from}`))!.body;
    rows.push(...(page["rows"] as unknown[]));
    if (page["truncated"] !== true) break;
    from = `&from=${(rows.at(-1) as { k: string }).k}`;
  }
  assert.ok(rows.length >= stored, `${rows.length} of ${stored}`);
  assert.equal((await sendRequest(restarted.addr, "POST", "/txn", { apply: [{ write: "after", v: 1 }] }))!.status, 200);
  await stopStore(restarted, "SIGTERM");
  assert.deepEqual((JSON.parse(runCommand("check", dir, "--json").out) as { faults: string[] }).faults, []);
});

test("a second process, a foreign folder and an invalid address are refused with a one-line message that names the remedy", async () => {
  const dir = join(root, "taken");
  const running = await startStore(dir);
  for (const [args, message] of [
    [["serve", "--listen", "127.0.0.1:0", "--data", dir], /another process has it open/],
    [["check", dir], /another process has it open/],
    [["serve", "--listen", "127.0.0.1:0", "--data", "src"], /holds files of something else/],
    [["check", join(root, "none")], /there is no such folder/],
    [["serve", "--listen", "localhost", "--data", join(root, "x")], /give an address like/],
    [
      ["serve", "--listen", "127.0.0.1:0", "--data", join(root, "x"), "--config", "deploy/operators.hcl"],
      /deploy\/operators\.hcl: .*[Uu]nrecognized/,
    ],
  ] as const) {
    const { status, err } = runCommand(...args);
    assert.ok(status === 4 || status === 3, `${args.join(" ")}: ${status} ${err}`);
    assert.match(err, message);
    assert.equal(err.trim().split("\n").length, 1, err);
  }
  await stopStore(running, "SIGTERM");
});

test("corruption is detected in the middle of the log and in the marker file", async () => {
  const dir = join(root, "damaged");
  const running = await startStore(dir);
  for (let i = 0; i < 50; i++) await sendRequest(running.addr, "POST", "/txn", { apply: [{ write: `k/${i}`, v: "y".repeat(500) }] });
  await stopStore(running);
  const log = readdirSync(join(dir, "db"))
    .filter((name) => name.endsWith(".log"))
    .map((name) => join(dir, "db", name))
    .sort((a, b) => statSync(b).size - statSync(a).size)[0]!;
  const bytes = readFileSync(log);
  bytes[Math.floor(bytes.length / 2)]! ^= 0xff;
  writeFileSync(log, bytes);
  const { status, out } = runCommand("check", dir);
  assert.equal(status, 4);
  assert.match(out, /revision \d+ is missing|checksum|newest revision/);
  const served = runCommand("serve", "--listen", "127.0.0.1:0", "--data", dir);
  assert.equal(served.status, 4);
  assert.match(served.err, /store check/);
  writeFileSync(join(dir, "thorntrail-store.json"), "?");
  assert.match(runCommand("check", dir).err, /is damaged/);
  writeFileSync(join(dir, "thorntrail-store.json"), '{"format":7}');
  assert.match(runCommand("check", dir).err, /format 7/);
});

test("a snapshot restores the same store with revisions skipped, and a truncated snapshot is refused", async () => {
  const dir = join(root, "origin");
  const running = await startStore(dir);
  for (let i = 0; i < 30; i++) await sendRequest(running.addr, "POST", "/txn", { apply: [{ write: `k/${i}`, v: i }] });
  await stopStore(running, "SIGTERM");
  const file = join(root, "snap.gz");
  const made = runCommand("snapshot", dir, file, "--json");
  assert.equal(made.status, 0, made.err);
  const copy = join(root, "copy");
  const restored = runCommand("restore", file, copy, "--skip", "500", "--json");
  assert.equal(restored.status, 0, restored.err);
  assert.equal((JSON.parse(restored.out) as { ledger: number }).ledger, 530);
  const restarted = await startStore(copy);
  assert.equal((await sendRequest(restarted.addr, "GET", "/store?prefix=k/"))!.body["ledger"], 530);
  assert.equal(((await sendRequest(restarted.addr, "GET", "/store?prefix=k/"))!.body["rows"] as unknown[]).length, 30);
  assert.equal((await sendRequest(restarted.addr, "GET", "/follow?from=30"))!.status, 410);
  assert.equal(
    (await sendRequest(restarted.addr, "POST", "/txn", { if: [{ k: "k/1", stamp: 2 }], apply: [{ write: "k/1", v: 0 }] }))!.body["ledger"],
    531,
  );
  await stopStore(restarted, "SIGTERM");
  assert.match(runCommand("restore", file, copy).err, /is not empty/);
  const bytes = readFileSync(file);
  writeFileSync(file, bytes.subarray(0, bytes.length - 20));
  const cut = runCommand("restore", file, join(root, "cut"));
  assert.equal(cut.status, 4);
  assert.match(cut.err, /take another snapshot file/);
  assert.ok(!readdirSync(root).some((name) => name.includes("cut")), "nothing is left of a truncated snapshot's restore");
});
