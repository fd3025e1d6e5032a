import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Row } from "@thorntrail/protocol/state";
import { Journal, TASKS_PER_PAGE, type Outcome, type Draft, type JournalOptions } from "../src/journal.js";

const OWNER = "t/p/0";

/** Model of the state service: its records, and the conditions and limits of transactions. */
class Service {
  readonly rows = new Map<string, { v: unknown; stamp: number }>();
  ledger = 10;
  changes = 0;

  constructor(private readonly limits: { ops: number; bytes: number }) {
    this.rows.set(OWNER, { v: {}, stamp: 10 });
  }

  /** Writes the ownership record as a new owner does. Returns the new owner's term: the record's revision (`stamp`). */
  takeOver(): number {
    this.rows.set(OWNER, { v: {}, stamp: ++this.ledger });
    return this.ledger;
  }

  /** Applies a transaction. Returns the revision (`stamp`) of the written records, or null if a condition failed. */
  txn({ conditions, apply }: Draft): number | null {
    assert.ok(apply.length <= this.limits.ops, `${apply.length} changes`);
    assert.ok(conditions.length <= this.limits.ops * 4);
    for (const op of apply) if ("write" in op) assert.ok(JSON.stringify(op.v).length <= this.limits.bytes, "value too large");
    if (conditions.some(({ k, stamp }) => (this.rows.get(k)?.stamp ?? 0) !== stamp)) return null;
    this.ledger++;
    for (const op of apply) {
      if ("write" in op) this.rows.set(op.write, { v: JSON.parse(JSON.stringify(op.v)), stamp: this.ledger });
      else this.rows.delete(op.remove);
    }
    this.changes += apply.length;
    return this.ledger;
  }

  list(): Row[] {
    return [...this.rows].filter(([k]) => k !== OWNER).map(([k, { v, stamp }]) => ({ k, v, stamp }));
  }
}

/**
 * Creates an in-memory stand-in for the state service with small transaction and value limits. Returns it with `options`, which
 * gives the settings of a journal for the current owner, and `flush`, which writes all pending batches of a journal to it.
 */
function environment(now: () => number = () => 0) {
  const service = new Service({ ops: 5, bytes: 2048 });
  const options = (): JournalOptions => ({
    prefix: "t/g/flow/",
    ownerKey: OWNER,
    term: service.rows.get(OWNER)!.stamp,
    valueKb: 2,
    txnOps: 5,
    now,
  });
  const flush = (journal: Journal): void => {
    for (let draft = journal.draftBatch(); draft !== null; draft = journal.draftBatch()) journal.batchCommitted(service.txn(draft)!);
  };
  return { service, options, flush };
}

test("100,000 outcomes take under five changes per thousand, and their records are removed once they are acknowledged", () => {
  const { service, options } = environment();
  const journal = new Journal(options());
  for (let seq = 0; seq < 100_000; seq++) {
    // Tasks end out of order, thousands of sequence numbers apart.
    journal.record("c", (seq * 7919) % 100_000, seq % 50 === 0 ? "failed" : "done");
    if (seq % 5000 === 4999) journal.acknowledge("c", 0);
    while (journal.isBatchDue()) journal.batchCommitted(service.txn(journal.draftBatch()!)!);
  }
  // Each batch has outcomes from the whole range of sequence numbers, so it writes more records than that of any real graph.
  assert.ok(service.changes < 500, `${service.changes} changes`);
  const near = environment();
  const other = new Journal(near.options());
  for (let seq = 0; seq < 100_000; seq++) {
    other.record("c", seq ^ 0x3ff, "done");
    if (seq % 2000 === 1999) other.acknowledge("c", seq - 1024);
    if (other.isBatchDue()) other.batchCommitted(near.service.txn(other.draftBatch()!)!);
  }
  assert.ok(near.service.changes < 500, `${near.service.changes} changes for 100,000 tasks`);
  other.acknowledge("c", 102_400);
  near.flush(other);
  assert.deepEqual(
    near.service.list().map(({ k }) => k),
    ["t/g/flow/c"],
  );
  assert.equal(Journal.restore(near.options(), near.service.list()).outcome("c", 5), "acknowledged");
});

test("an outcome may be reported to others only once it is durable, and a check makes the next batch due", () => {
  const clock = { now: 0 };
  const { service, options } = environment(() => clock.now);
  const journal = new Journal(options());
  journal.record("c", 3, "done");
  assert.equal(journal.isBatchDue(), false);
  assert.equal(journal.checkDurable("c", 3), false);
  assert.equal(journal.isBatchDue(), true);
  const draft = journal.draftBatch()!;
  assert.equal(journal.draftBatch(), null, "one batch at a time");
  assert.equal(journal.checkDurable("c", 3), false, "an outcome in flight is not durable");
  journal.record("c", 4, "failed");
  journal.batchCommitted(service.txn(draft)!);
  assert.equal(journal.checkDurable("c", 4), false);
  assert.equal(journal.record("c", 4, "done"), false, "the first outcome is kept");
  assert.equal(journal.outcome("c", 4), "failed");
  clock.now += 60_000;
  assert.equal(journal.isBatchDue(), true, "no outcome waits indefinitely for others");
});

test("a former owner writes nothing, however late its transaction arrives", () => {
  const { service, options, flush } = environment();
  const old = new Journal(options());
  old.record("c", 1, "done");
  flush(old);
  old.record("c", 2, "cancelled");
  const late = old.draftBatch()!;
  service.takeOver();
  const next = Journal.restore(options(), service.list());
  assert.equal(next.outcome("c", 2), null);
  next.record("c", 2, "done");
  flush(next);
  assert.equal(service.txn(late), null);
  assert.equal(Journal.restore(options(), service.list()).outcome("c", 2), "done");
  // A late transaction of a former owner is rejected even if the new owner has not written the same record.
  next.record("c", 5 * TASKS_PER_PAGE, "done");
  const further = next.draftBatch()!;
  service.takeOver();
  assert.equal(service.txn(further), null);
});

test("settings too small for a record or a transaction are rejected by the constructor", () => {
  const { options } = environment();
  assert.throws(() => new Journal({ ...options(), valueKb: 1 }), /value_kb 1: a record of outcomes takes up to \d+ bytes/);
  assert.throws(() => new Journal({ ...options(), txnOps: 1 }), /txn_ops 1/);
});

test("random sequences: an outcome reported as durable survives any failure, outcomes never change, acknowledged ones never reappear", () => {
  const step = fc.record({
    what: fc.constantFrom("record", "record", "record", "record", "acknowledge", "check", "flush", "lost", "unanswered", "late", "end"),
    client: fc.constantFrom("c", "d"),
    seq: fc.oneof(fc.nat(40), fc.nat(3 * TASKS_PER_PAGE)),
    answer: fc.constantFrom<Outcome>("done", "failed", "cancelled"),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const { service, options, flush } = environment();
      let journal = new Journal(options());
      const reported = new Map<string, Outcome>();
      const acknowledged = new Map<string, number>();
      let held: Draft | null = null;
      const settle = (applied: boolean, draft: Draft): void => {
        if (applied) service.txn(draft);
        journal.reconcile(service.list());
      };
      for (const { what, client, seq, answer } of steps) {
        if (what === "record") journal.record(client, seq, answer);
        else if (what === "acknowledge") {
          // A client acknowledges only tasks that have an outcome, without gaps from its first task on.
          let below = acknowledged.get(client) ?? 0;
          while (below < seq && journal.outcome(client, below) !== null) below++;
          journal.acknowledge(client, below);
          acknowledged.set(client, below);
        } else if (what === "check") {
          const outcome = journal.outcome(client, seq);
          if (journal.checkDurable(client, seq) && outcome !== "acknowledged") reported.set(`${client}/${seq}`, outcome!);
        } else if (what === "flush") flush(journal);
        else if (what === "lost" || what === "unanswered") {
          const draft = journal.draftBatch();
          if (draft !== null) settle(what === "unanswered", draft);
        } else if (what === "late") {
          // The first transaction gets no response: the records are read and a new batch is written. Then the first one arrives.
          held = journal.draftBatch();
          if (held === null) continue;
          const { changes } = service;
          journal.reconcile(service.list());
          const again = journal.draftBatch();
          if (again !== null) journal.batchCommitted(service.txn(again)!);
          assert.ok(service.changes > changes);
          assert.equal(service.txn(held), null, "the late copy finds other stamps");
        } else if (what === "end") {
          service.takeOver();
          journal = Journal.restore(options(), service.list());
          for (const name of ["c", "d"]) {
            let below = 0;
            while (journal.outcome(name, below) === "acknowledged") below++;
            // Acknowledgements that were not durable are lost with the former owner; the clients repeat them after this check.
            assert.ok(below <= (acknowledged.get(name) ?? 0));
          }
          for (const [name, below] of acknowledged) journal.acknowledge(name, below);
        }
        for (const [key, before] of reported) {
          const [name, no] = key.split("/") as [string, string];
          const now = journal.outcome(name, Number(no));
          assert.ok(now === before || now === "acknowledged", `${key} was reported as ${before} and is ${now}`);
        }
      }
      flush(journal);
      assert.equal(journal.isBatchDue(), false);
    }),
    { numRuns: Number(process.env["DRAWS"] ?? 400), seed: Number(process.env["SEED"] ?? 1) },
  );
});
