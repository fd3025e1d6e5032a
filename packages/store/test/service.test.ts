import assert from "node:assert/strict";
import { spawn, spawnSync, type ChildProcess } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, test } from "node:test";

const root = mkdtempSync(join(tmpdir(), "store-test-"));
const children = new Set<ChildProcess>();
after(() => {
  for (const child of children) child.kill("SIGKILL");
  rmSync(root, { recursive: true, force: true });
});

interface Running {
  addr: string;
  child: ChildProcess;
}

const MAIN = "target/main.js";

function serve(dir: string, extra: string[] = [], wrap?: string): Promise<Running> {
  const args = [MAIN, "store", "serve", "--listen", "127.0.0.1:0", "--data", dir, ...extra];
  const env = { ...process.env, LOG_LEVEL: "error" };
  const child =
    wrap === undefined
      ? spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"], env })
      : spawn("sh", ["-c", `${wrap}; exec "$0" "$@"`, process.execPath, ...args], { stdio: ["ignore", "pipe", "pipe"], env });
  children.add(child);
  return new Promise((resolve, reject) => {
    let out = "";
    let err = "";
    child.stderr!.on("data", (some: Buffer) => (err += some.toString()));
    child.stdout!.on("data", (some: Buffer) => {
      out += some.toString();
      if (out.includes("\n")) resolve({ addr: (JSON.parse(out) as { listening: string }).listening, child });
    });
    child.on("exit", (code) => reject(new Error(`ended with ${code}: ${err}`)));
  });
}

function end({ child }: Running, signal: NodeJS.Signals = "SIGKILL"): Promise<void> {
  return new Promise((resolve) => {
    child.removeAllListeners("exit");
    child.once("exit", () => resolve());
    child.kill(signal);
  });
}

/** Null: no answer. */
function ask(
  addr: string,
  method: string,
  path: string,
  body?: unknown,
): Promise<{ status: number; body: Record<string, unknown> } | null> {
  return new Promise((resolve) => {
    const [host, port] = addr.split(":") as [string, string];
    const req = request({ host, port, method, path, agent: false }, (res) => {
      let text = "";
      res.on("data", (some: Buffer) => (text += some.toString()));
      res.on("end", () => resolve({ status: res.statusCode!, body: text === "" ? {} : (JSON.parse(text) as Record<string, unknown>) }));
      res.on("error", () => resolve(null));
    });
    req.on("error", () => resolve(null));
    req.end(body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body));
  });
}

const command = (...args: string[]): { status: number | null; out: string; err: string } => {
  const run = spawnSync(process.execPath, [MAIN, "store", ...args], { encoding: "utf8" });
  return { status: run.status, out: run.stdout, err: run.stderr };
};

test("speaks the protocol, and says at once what is wrong with a request", async () => {
  const running = await serve(join(root, "protocol"));
  const { addr } = running;
  const is = async (status: number, method: string, path: string, body?: unknown): Promise<Record<string, unknown>> => {
    const answer = await ask(addr, method, path, body);
    assert.equal(answer?.status, status, `${method} ${path} ${JSON.stringify(body)?.slice(0, 80)}: ${JSON.stringify(answer)}`);
    return answer!.body;
  };
  assert.deepEqual(await is(404, "GET", "/store/a/b"), { ledger: 0 });
  assert.deepEqual(await is(200, "POST", "/txn", { if: [{ k: "a/b", stamp: 0 }], apply: [{ write: "a/b", v: { x: [1, null, "ü"] } }] }), {
    ledger: 1,
  });
  assert.deepEqual(await is(200, "GET", "/store/a/b"), { k: "a/b", v: { x: [1, null, "ü"] }, stamp: 1 });
  assert.deepEqual(await is(409, "POST", "/txn", { if: [{ k: "a/b", stamp: 0 }], apply: [{ remove: "a/b" }] }), {
    failed: ["a/b"],
    ledger: 1,
  });
  assert.deepEqual(await is(200, "POST", "/txn", { if: [{ k: "a/b", stamp: 1 }] }), { ledger: 1 });
  const { permit } = await is(200, "POST", "/leases", { ttlMs: 60_000 });
  await is(200, "POST", "/txn", {
    apply: [
      { write: "c", v: 1, permit },
      { write: "c/d", v: null },
    ],
  });
  assert.equal((await is(200, "GET", "/store/c"))["permit"], permit);
  await is(400, "POST", "/txn", { apply: [{ write: "c", v: 2, permit: 99 }] });
  assert.deepEqual(await is(200, "GET", "/store?prefix=c&limit=1"), { rows: [{ k: "c", v: 1, stamp: 2 }], truncated: true, ledger: 2 });
  assert.deepEqual(await is(200, "GET", "/store?prefix=c&from=c"), {
    rows: [{ k: "c/d", v: null, stamp: 2 }],
    truncated: false,
    ledger: 2,
  });
  const watch = is(200, "GET", "/follow?prefix=c&from=2&blockMs=5000");
  await is(200, "DELETE", `/leases/${String(permit)}`);
  assert.deepEqual(await watch, { ledger: 3, events: [{ remove: "c", stamp: 3 }] });
  await is(404, "POST", `/leases/${String(permit)}/renew`, {});
  for (const [body, wrong] of [
    ["{", /not JSON/],
    [{ apply: [{ write: "a b", v: 1 }] }, /apply/],
    [{ apply: [{ write: "a" }] }, /apply/],
    [{ if: [{ k: "a", stamp: -1 }] }, /if\.0\.stamp/],
    [{ apply: Array.from({ length: 17 }, (_, i) => ({ remove: `k${i}` })) }, /17 changes, at most 16/],
    [{ apply: [{ write: "a", v: "x".repeat(33 * 1024) }] }, /more than 32 KiB/],
    [{ apply: [{ write: "a", v: "x".repeat(65 * 1024) }] }, /at most 65536 bytes/],
  ] as const)
    assert.match(String((await is(400, "POST", "/txn", body))["error"]), wrong);
  await is(400, "POST", "/leases", { ttlMs: 99 });
  await is(400, "GET", "/follow?prefix=c&from=x");
  await is(400, "GET", "/follow?blockMs=60001");
  await is(400, "GET", `/store/${"k".repeat(201)}`);
  await is(404, "GET", "/nothing");
  assert.equal((await is(404, "GET", "/store/none"))["ledger"], 3, "nothing of what was refused was applied");
  await end(running, "SIGTERM");
});

test("what was answered survives kill -9 at any point; history and leases too; ledgers never go back", async () => {
  const dir = join(root, "killed");
  const answered = new Map<string, number>();
  let ledger = 0;
  let permit: unknown;
  for (let round = 0; round < 4; round++) {
    const running = await serve(dir);
    if (round === 0) {
      permit = (await ask(running.addr, "POST", "/leases", { ttlMs: 60_000 }))!.body["permit"];
      await ask(running.addr, "POST", "/txn", { apply: [{ write: "leased", v: 1, permit }] });
    }
    // The last write of each client may be there unanswered.
    for (const [key, n] of answered) assert.ok(Number((await ask(running.addr, "GET", `/store/${key}`))!.body["v"]) >= n);
    let dead = false;
    const clients = Array.from({ length: 16 }, async (_, c) => {
      for (let n = 0; !dead; n++) {
        const key = `k/${round}/${c}`;
        const answer = await ask(running.addr, "POST", "/txn", {
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
    await new Promise((resolve) => setTimeout(resolve, 250 + round * 70));
    const gone = end(running);
    dead = true;
    await gone;
    await Promise.all(clients);
  }
  const running = await serve(dir);
  assert.ok(answered.size >= 64);
  for (const [key, n] of answered) {
    const [whole, pair] = await Promise.all([ask(running.addr, "GET", `/store/${key}`), ask(running.addr, "GET", `/store/${key}/pair`)]);
    assert.ok(Number(whole!.body["v"]) >= n, `${key} was answered`);
    assert.equal(whole!.body["v"], pair!.body["v"], "no half transaction");
  }
  const now = Number((await ask(running.addr, "GET", "/store/none"))!.body["ledger"]);
  assert.ok(now >= ledger);
  const told = await ask(running.addr, "GET", `/follow?from=${now - 20}`);
  assert.equal(told!.status, 200);
  assert.ok((told!.body["events"] as unknown[]).length > 0, "watch history is there");
  assert.equal((await ask(running.addr, "POST", `/leases/${String(permit)}/renew`, {}))!.status, 200);
  assert.equal((await ask(running.addr, "GET", "/store/leased"))!.body["permit"], permit);
  await end(running, "SIGTERM");
  const check = JSON.parse(command("check", dir, "--json").out) as { faults: string[]; keys: number };
  assert.deepEqual(check.faults, []);
  assert.equal(check.keys, answered.size * 2 + 1);
});

test("a full disk is answered 503, and what was answered before and after is there", async () => {
  const dir = join(root, "full");
  // 4,096 blocks of 512 bytes: files end there, as on a disk that is full.
  const running = await serve(dir, [], "ulimit -f 4096");
  const value = "x".repeat(30_000);
  let stored = 0;
  let refused = 0;
  for (let i = 0; i < 200 && refused < 3; i++) {
    const answer = await ask(running.addr, "POST", "/txn", { apply: [{ write: `k/${String(i).padStart(4, "0")}`, v: `${i}${value}` }] });
    if (answer?.status === 200) stored++;
    else {
      if (answer !== null) assert.equal(answer.status, 503, JSON.stringify(answer.body));
      refused++;
    }
  }
  assert.ok(stored > 20 && refused >= 1, `${stored} stored, ${refused} refused`);
  await end(running);
  const again = await serve(dir);
  const rows: unknown[] = [];
  for (let from = ""; ;) {
    const page = (await ask(again.addr, "GET", `/store?prefix=k/${from}`))!.body;
    rows.push(...(page["rows"] as unknown[]));
    if (page["truncated"] !== true) break;
    from = `&from=${(rows.at(-1) as { k: string }).k}`;
  }
  assert.ok(rows.length >= stored, `${rows.length} of ${stored}`);
  assert.equal((await ask(again.addr, "POST", "/txn", { apply: [{ write: "after", v: 1 }] }))!.status, 200);
  await end(again, "SIGTERM");
  assert.deepEqual((JSON.parse(command("check", dir, "--json").out) as { faults: string[] }).faults, []);
});

test("a second process, a foreign folder, a wrong address: refused in one line that says what to do", async () => {
  const dir = join(root, "taken");
  const running = await serve(dir);
  for (const [args, what] of [
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
    const { status, err } = command(...args);
    assert.ok(status === 4 || status === 3, `${args.join(" ")}: ${status} ${err}`);
    assert.match(err, what);
    assert.equal(err.trim().split("\n").length, 1, err);
  }
  await end(running, "SIGTERM");
});

test("damage is found: in a file, in the mark, and in the middle of the log", async () => {
  const dir = join(root, "damaged");
  const running = await serve(dir);
  for (let i = 0; i < 50; i++) await ask(running.addr, "POST", "/txn", { apply: [{ write: `k/${i}`, v: "y".repeat(500) }] });
  await end(running);
  const log = readdirSync(join(dir, "db"))
    .filter((name) => name.endsWith(".log"))
    .map((name) => join(dir, "db", name))
    .sort((a, b) => statSync(b).size - statSync(a).size)[0]!;
  const bytes = readFileSync(log);
  bytes[Math.floor(bytes.length / 2)]! ^= 0xff;
  writeFileSync(log, bytes);
  const { status, out } = command("check", dir);
  assert.equal(status, 4);
  assert.match(out, /revision \d+ is missing|checksum|newest revision/);
  const served = command("serve", "--listen", "127.0.0.1:0", "--data", dir);
  assert.equal(served.status, 4);
  assert.match(served.err, /store check/);
  writeFileSync(join(dir, "thorntrail-store.json"), "?");
  assert.match(command("check", dir).err, /is damaged/);
  writeFileSync(join(dir, "thorntrail-store.json"), '{"format":7}');
  assert.match(command("check", dir).err, /format 7/);
});

test("a snapshot makes the same store again, with revisions well past those handed out; a cut file makes none", async () => {
  const dir = join(root, "origin");
  const running = await serve(dir);
  for (let i = 0; i < 30; i++) await ask(running.addr, "POST", "/txn", { apply: [{ write: `k/${i}`, v: i }] });
  await end(running, "SIGTERM");
  const file = join(root, "snap.gz");
  const made = command("snapshot", dir, file, "--json");
  assert.equal(made.status, 0, made.err);
  const copy = join(root, "copy");
  const restored = command("restore", file, copy, "--skip", "500", "--json");
  assert.equal(restored.status, 0, restored.err);
  assert.equal((JSON.parse(restored.out) as { ledger: number }).ledger, 530);
  const again = await serve(copy);
  assert.equal((await ask(again.addr, "GET", "/store?prefix=k/"))!.body["ledger"], 530);
  assert.equal(((await ask(again.addr, "GET", "/store?prefix=k/"))!.body["rows"] as unknown[]).length, 30);
  assert.equal((await ask(again.addr, "GET", "/follow?from=30"))!.status, 410);
  assert.equal(
    (await ask(again.addr, "POST", "/txn", { if: [{ k: "k/1", stamp: 2 }], apply: [{ write: "k/1", v: 0 }] }))!.body["ledger"],
    531,
  );
  await end(again, "SIGTERM");
  assert.match(command("restore", file, copy).err, /is not empty/);
  const bytes = readFileSync(file);
  writeFileSync(file, bytes.subarray(0, bytes.length - 20));
  const cut = command("restore", file, join(root, "cut"));
  assert.equal(cut.status, 4);
  assert.match(cut.err, /take another snapshot file/);
  assert.ok(!readdirSync(root).some((name) => name.includes("cut")), "nothing is left of a file that was cut short");
});
