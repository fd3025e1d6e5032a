import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { z } from "zod";
import { decodeReport, encodeReport, type Report } from "../src/worker.js";

// The hand-written decoder of the hot path takes and refuses what a schema of PROTOCOL does.

const count = z.number().int().min(0);
const schema = z.object({
  host: z.string().min(1),
  addr: z.string().optional(),
  build: z.string().optional(),
  yard: z.string().optional(),
  loaner: z.boolean().nullish(),
  shift: count,
  tick: count,
  baton: count.nullish(),
  warningS: z.number().nullish(),
  pieces: z
    .array(
      z.object({
        piece: z.string().regex(/^.+\/\d+$/),
        try: count,
        status: z.enum(["fetching", "gathering", "running", "saving", "exited"]),
        cause: z.string().nullish(),
        kept: z.boolean().nullish(),
      }),
    )
    .nullish(),
});

const odd = fc.constantFrom<unknown>(null, undefined, "", "x", "run-000001/3", -1, 0, 1.5, 7, 2 ** 53, 1e999, true, false, [], {}, [null]);
const piece = fc.record(
  {
    piece: fc.oneof(fc.constantFrom("run-000001/0", "a/b/12", "/1", "run-000001/", "\n/1"), odd),
    try: fc.oneof(fc.nat(), odd),
    status: fc.oneof(fc.constantFrom("fetching", "gathering", "running", "saving", "exited", "lost"), odd),
    cause: fc.oneof(fc.constantFrom("done", "stopped"), odd),
    kept: fc.oneof(fc.boolean(), odd),
  },
  { requiredKeys: ["piece", "try", "status"] },
);
const mostly = <T>(usual: fc.Arbitrary<T>) =>
  fc.oneof({ weight: 12, arbitrary: usual as fc.Arbitrary<unknown> }, { weight: 1, arbitrary: odd });
const wire = fc.record(
  {
    host: mostly(fc.constantFrom("i-000231", "i-1")),
    addr: mostly(fc.constant("10.1.0.1:9000")),
    build: mostly(fc.constant("g8")),
    yard: mostly(fc.constant("a")),
    loaner: mostly(fc.boolean()),
    shift: mostly(fc.nat()),
    tick: mostly(fc.nat()),
    baton: mostly(fc.nat()),
    warningS: mostly(fc.double({ noNaN: true })),
    pieces: mostly(
      fc.array(fc.oneof({ weight: 6, arbitrary: piece as fc.Arbitrary<unknown> }, { weight: 1, arbitrary: odd }), { maxLength: 3 }),
    ),
  },
  { requiredKeys: ["host", "shift", "tick"] },
);

test("a report is taken if and only if it has the form of PROTOCOL", () => {
  let taken = 0;
  fc.assert(
    fc.property(wire, (raw) => {
      const expected = schema.safeParse(raw).success;
      assert.equal(decodeReport(raw) !== null, expected);
      if (expected) taken++;
    }),
    { seed: 1, numRuns: 5000 },
  );
  assert.ok(taken > 500, `only ${taken} of the drawn reports were good ones`);
});

test("what is written as a report is read as the same", () => {
  const report: Report = {
    host: "i-1",
    addr: "10.0.0.1:1",
    type: "g8",
    zone: "a",
    spot: true,
    session: 2,
    seq: 9,
    token: 41,
    noticeS: 12.5,
    tasks: [
      { piece: "run-000001/3", attempt: 2, state: "running", cause: null, saved: false },
      { piece: "run-000001/4", attempt: 1, state: "exited", cause: "stopped", saved: true },
    ],
  };
  assert.deepEqual(decodeReport(JSON.parse(JSON.stringify(encodeReport(report)))), report);
  assert.equal(decodeReport(null), null);
  assert.equal(decodeReport([]), null);
});
