import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { Batch, Engine } from "../src/engine.js";
import { MemoryEngine } from "../src/memory-engine.js";
import { Store, type StoreClock } from "../src/store.js";

/** A clock that the test advances. */
class ManualClock implements StoreClock {
  private time = 0;
  private timers: { at: number; fn: () => void }[] = [];
  now(): number {
    return this.time;
  }
  after(ms: number, fn: () => void): () => void {
    const entry = { at: this.time + ms, fn };
    this.timers.push(entry);
    return () => {
      this.timers = this.timers.filter((one) => one !== entry);
    };
  }
  async advance(ms: number): Promise<void> {
    const until = this.time + ms;
    for (;;) {
      await drainEventLoop();
      const next = this.timers.filter(({ at }) => at <= until).sort((a, b) => a.at - b.at)[0];
      if (next === undefined) break;
      this.timers = this.timers.filter((one) => one !== next);
      // Timers that expired while the process was stalled fire late, at the current time.
      this.time = Math.max(this.time, next.at);
      next.fn();
    }
    this.time = until;
  }
}

const drainEventLoop = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Storage engine that simulates a crash of the process during a write, before or after the batch has reached the simulated disk. */
class CrashingEngine implements Engine {
  constructor(readonly disk: MemoryEngine) {}
  /** `before`: the next write crashes with nothing of the batch stored; `after`: with all of it stored but not acknowledged; null: no crash. */
  crash: "before" | "after" | null = null;
  /** True after a simulated crash; the write that crashed never settles. */
  crashed = false;
  meta = () => this.disk.meta();
  get = (key: string) => this.disk.get(key);
  range = (...a: Parameters<Engine["range"]>) => this.disk.range(...a);
  events = (...a: Parameters<Engine["events"]>) => this.disk.events(...a);
  reopen = () => Promise.resolve();
  close = () => Promise.resolve();
  async write(batch: Batch): Promise<void> {
    const { crash: crashPoint } = this;
    if (crashPoint !== "before") await this.disk.write(batch);
    if (crashPoint === null) return;
    this.crashed = true;
    return new Promise(() => undefined);
  }
}

const LIMITS = { rps: 1e9, writeRps: 1e9, valueKb: 32, txnOps: 16 };
const KEYS = ["a/1", "a/2", "b/1", "b/2/x"];

/** Reference model: a minimal in-memory implementation of the protocol. */
class ReferenceModel {
  ledger = 0;
  keys = new Map<string, { v: string; stamp: number; permit: number | null }>();
  events: { key: string; text: string | null; stamp: number }[] = [];
  leases = new Map<number, { ttl: number; until: number }>();
  permitCount = 0;
  copy(): ReferenceModel {
    const copied = new ReferenceModel();
    copied.ledger = this.ledger;
    copied.permitCount = this.permitCount;
    copied.keys = new Map(this.keys);
    copied.events = [...this.events];
    copied.leases = new Map([...this.leases].map(([id, p]) => [id, { ...p }]));
    return copied;
  }
  applyChanges(ops: { key: string; text: string | null; permit: number | null }[]): void {
    this.ledger++;
    for (const { key, text, permit } of ops) {
      if (text === null && !this.keys.has(key)) continue;
      if (text === null) this.keys.delete(key);
      else this.keys.set(key, { v: text, stamp: this.ledger, permit });
      this.events.push({ key, text, stamp: this.ledger });
    }
  }
  expire(now: number): void {
    for (const [id, { until }] of this.leases) if (until <= now) this.end(id);
  }
  end(id: number): void {
    this.leases.delete(id);
    const attachedKeys = [...this.keys].filter(([, { permit }]) => permit === id).map(([key]) => ({ key, text: null, permit: null }));
    if (attachedKeys.length > 0) this.applyChanges(attachedKeys);
  }
}

type Step =
  | {
      kind: "txn";
      conditions: { k: string; holds: boolean }[];
      ops: { key: string; text: string | null; lease: number | null }[];
      crash: "before" | "after" | null;
    }
  | { kind: "grant"; ttl: number; crash: "before" | "after" | null }
  | { kind: "renew"; lease: number }
  | { kind: "end"; lease: number; crash: "before" | "after" | null }
  | { kind: "wait"; ms: number };

const crashArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.constant(null) },
  { weight: 1, arbitrary: fc.constantFrom("before" as const, "after" as const) },
);
const keyArbitrary = fc.constantFrom(...KEYS);
const stepArbitrary: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("txn" as const),
      conditions: fc.array(fc.record({ k: keyArbitrary, holds: fc.boolean() }), { maxLength: 2 }),
      ops: fc.array(fc.record({ key: keyArbitrary, text: fc.option(fc.json()), lease: fc.option(fc.nat(3), { freq: 3 }) }), {
        maxLength: 3,
      }),
      crash: crashArbitrary,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({ kind: fc.constant("grant" as const), ttl: fc.integer({ min: 200, max: 2000 }), crash: crashArbitrary }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("renew" as const), lease: fc.nat(3) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant("end" as const), lease: fc.nat(3), crash: crashArbitrary }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("wait" as const), ms: fc.integer({ min: 10, max: 1500 }) }) },
);

async function storeContents(store: Store): Promise<Record<string, unknown>> {
  const { rows } = await store.range("", undefined, 1000);
  return Object.fromEntries(rows.map(({ key: k, stored }) => [k, stored]));
}

const expectedContents = (model: ReferenceModel): Record<string, unknown> =>
  Object.fromEntries(
    [...model.keys].sort(([a], [b]) => (a < b ? -1 : 1)).map(([k, { v, stamp, permit }]) => [k, { text: v, stamp, permit }]),
  );

test("the store matches a reference model for random requests with crashes before and after writes", async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(stepArbitrary, { maxLength: 40 }), async (steps) => {
      const clock = new ManualClock();
      const disk = new MemoryEngine();
      let engine = new CrashingEngine(disk);
      let store = await Store.open(engine, clock, LIMITS);
      let model = new ReferenceModel();
      let newestLedger = 0;
      for (const step of steps) {
        const modelBefore = model.copy();
        let answered = false;
        let crashPoint: "before" | "after" | null = null;
        const request = async (run: () => Promise<unknown>, at: "before" | "after" | null): Promise<void> => {
          crashPoint = engine.crash = at;
          void run().then(() => (answered = true));
          for (let i = 0; i < 4; i++) await drainEventLoop();
          engine.crash = null;
        };
        if (step.kind === "wait") {
          // The store ends leases up to 100 ms late and never early, so it is compared with the model only when no lease expired that recently.
          await clock.advance(step.ms);
          const recentExpiry = (): boolean =>
            [...model.leases.values()].some(({ until }) => until > clock.now() - 120 && until <= clock.now());
          // Repeated, because another lease may expire during the wait.
          while (recentExpiry()) await clock.advance(120);
          model.expire(clock.now());
          assert.deepEqual(await storeContents(store), expectedContents(model));
          continue;
        }
        if (step.kind === "renew") {
          const lease = model.leases.get(step.lease);
          if (lease !== undefined) lease.until = clock.now() + lease.ttl;
          assert.equal(await store.renew(step.lease), lease !== undefined);
          continue;
        }
        if (step.kind === "grant") {
          model.leases.set(++model.permitCount, { ttl: step.ttl, until: clock.now() + step.ttl });
          await request(() => store.grant(step.ttl), step.crash);
        } else if (step.kind === "end") {
          const existed = model.leases.has(step.lease);
          if (existed) model.end(step.lease);
          await request(() => store.end(step.lease).then((ended) => assert.equal(ended, existed)), step.crash);
        } else {
          const conditions = step.conditions.map(({ k, holds }) => ({
            k,
            stamp: holds ? (model.keys.get(k)?.stamp ?? 0) : model.ledger + 7,
          }));
          const seen = new Set<string>();
          const ops = step.ops.filter((op) => !seen.has(op.key) && seen.add(op.key));
          const allHold = step.conditions.every(({ holds }) => holds);
          const leasesExist = ops.every((op) => op.text === null || op.lease === null || model.leases.has(op.lease));
          if (allHold && leasesExist && ops.length > 0)
            model.applyChanges(ops.map((op) => ({ key: op.key, text: op.text, permit: op.text === null ? null : op.lease })));
          const expected = allHold ? (leasesExist ? "applied" : "no-lease") : "conflict";
          const changes = ops.map((op) => (op.text === null ? { remove: op.key } : { write: op.key, text: op.text, permit: op.lease }));
          await request(() => store.txn(conditions, changes).then((answer) => assert.equal(answer.kind, expected)), step.crash);
        }
        if (engine.crashed) {
          // After a crash, a new process finds on disk either all effects of the step or none of them.
          if (crashPoint === "before") model = modelBefore;
          engine = new CrashingEngine(disk);
          store = await Store.open(engine, clock, LIMITS);
          for (const lease of model.leases.values()) lease.until = clock.now() + lease.ttl;
          assert.equal(answered, false, "a request whose effects may be lost is not answered");
        } else assert.equal(answered, true, "every step is answered");
        assert.deepEqual(await storeContents(store), expectedContents(model));
        assert.ok(store.ledger >= newestLedger, "the ledger does not go back");
        assert.equal(store.ledger, model.ledger);
        newestLedger = store.ledger;
      }
      const followed = await store.follow("a/", 0, 0);
      assert.notEqual(followed, "too-old");
      const expectedEvents = model.events.filter((event) => event.key.startsWith("a/"));
      assert.deepEqual(
        (followed as Exclude<typeof followed, "too-old">).events.map(({ key: k, text, stamp }) => ({ key: k, text, stamp })),
        expectedEvents,
      );
    }),
    { numRuns: Number(process.env["DRAWS"] ?? 300), seed: Number(process.env["SEED"] ?? 1) },
  );
});

test("the history is trimmed to 10,000 changes by whole revisions, and a watch from an older revision returns too-old", async () => {
  const clock = new ManualClock();
  const store = await Store.open(new MemoryEngine(), clock, LIMITS);
  for (let i = 0; i < 700; i++)
    await store.txn(
      [],
      Array.from({ length: 15 }, (_, j) => ({ write: `k/${j}`, text: String(i), permit: null })),
    );
  assert.equal(await store.follow("k/", 10, 0), "too-old");
  const followed = await store.follow("k/", 700 - 666, 0);
  assert.notEqual(followed, "too-old");
  assert.equal((followed as Exclude<typeof followed, "too-old">).events.length, 666 * 15);
});

test("a watch returns the first change with its prefix and no other", async () => {
  const clock = new ManualClock();
  const store = await Store.open(new MemoryEngine(), clock, LIMITS);
  const watch = store.follow("a/", 0, 10_000);
  await store.txn([], [{ write: "b/1", text: "1", permit: null }]);
  await store.txn([], [{ write: "a/1", text: "2", permit: null }]);
  const followed = await watch;
  assert.deepEqual(followed, { ledger: 2, events: [{ key: "a/1", text: "2", stamp: 2, index: 0 }] });
  const timedOut = store.follow("a/", 2, 1000);
  await clock.advance(1000);
  assert.deepEqual(await timedOut, { ledger: 2, events: [] });
});

test("a failed write is refused if nothing of it is on disk and answered as applied if it is", async () => {
  for (const stored of [true, false]) {
    const clock = new ManualClock();
    const disk = new MemoryEngine();
    const engine = new CrashingEngine(disk);
    engine.write = async (batch) => {
      engine.write = (next) => disk.write(next);
      if (stored) await disk.write(batch);
      throw new Error("no space left on device");
    };
    const store = await Store.open(engine, clock, LIMITS);
    const answer = store.txn([{ k: "a", stamp: 0 }], [{ write: "a", text: "1", permit: null }]);
    if (stored) assert.deepEqual(await answer, { kind: "applied", ledger: 1 });
    else await assert.rejects(answer, /no space/);
    assert.equal((await store.txn([{ k: "a", stamp: stored ? 1 : 0 }], [{ write: "a", text: "2", permit: null }])).kind, "applied");
  }
});

test("a lease that could not be renewed while the service was stalled gets its full time to live again", async () => {
  const clock = new ManualClock();
  const store = await Store.open(new MemoryEngine(), clock, LIMITS);
  const permit = await store.grant(1000);
  await store.txn([], [{ write: "p", text: "1", permit }]);
  // The process is stalled: the clock advances by five seconds without any timer firing.
  const { after } = clock;
  const resumedAt = clock.now() + 5000;
  Object.assign(clock, { time: resumedAt });
  clock.after = after;
  await clock.advance(500);
  assert.notEqual(store.read("p").stored, undefined);
  await clock.advance(700);
  assert.equal(store.read("p").stored, undefined);
});
