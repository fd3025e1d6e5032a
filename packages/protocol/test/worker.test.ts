import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { z } from "zod";
import { decodeReport, encodeReport, type Report } from "../src/worker.js";

// Guards against differences between the hand-written decoder of workers' reports and a schema of the protocol.

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

const oddValue = fc.constantFrom<unknown>(null, undefined, "", "x", "run-000001/3", -1, 0, 1.5, 7, 2 ** 53, 1e999, true, false, [], {}, [
  null,
]);
const task = fc.record(
  {
    piece: fc.oneof(fc.constantFrom("run-000001/0", "a/b/12", "/1", "run-000001/", "\n/1"), oddValue),
    try: fc.oneof(fc.nat(), oddValue),
    status: fc.oneof(fc.constantFrom("fetching", "gathering", "running", "saving", "exited", "lost"), oddValue),
    cause: fc.oneof(fc.constantFrom("done", "stopped"), oddValue),
    kept: fc.oneof(fc.boolean(), oddValue),
  },
  { requiredKeys: ["piece", "try", "status"] },
);
const mostlyUsual = <T>(usual: fc.Arbitrary<T>) =>
  fc.oneof({ weight: 12, arbitrary: usual as fc.Arbitrary<unknown> }, { weight: 1, arbitrary: oddValue });
const wire = fc.record(
  {
    host: mostlyUsual(fc.constantFrom("i-000231", "i-1")),
    addr: mostlyUsual(fc.constant("10.1.0.1:9000")),
    build: mostlyUsual(fc.constant("g8")),
    yard: mostlyUsual(fc.constant("a")),
    loaner: mostlyUsual(fc.boolean()),
    shift: mostlyUsual(fc.nat()),
    tick: mostlyUsual(fc.nat()),
    baton: mostlyUsual(fc.nat()),
    warningS: mostlyUsual(fc.double({ noNaN: true })),
    pieces: mostlyUsual(
      fc.array(fc.oneof({ weight: 6, arbitrary: task as fc.Arbitrary<unknown> }, { weight: 1, arbitrary: oddValue }), { maxLength: 3 }),
    ),
  },
  { requiredKeys: ["host", "shift", "tick"] },
);

test("a report is accepted if and only if it conforms to the protocol", () => {
  let valid = 0;
  fc.assert(
    fc.property(wire, (raw) => {
      const expected = schema.safeParse(raw).success;
      assert.equal(decodeReport(raw) !== null, expected);
      if (expected) valid++;
    }),
    { seed: 1, numRuns: 5000 },
  );
  assert.ok(valid > 500, `only ${valid} of the generated reports were valid`);
});

test("an encoded report decodes to an equal one", () => {
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
      { taskId: "run-000001/3", attempt: 2, state: "running", cause: null, saved: false },
      { taskId: "run-000001/4", attempt: 1, state: "exited", cause: "stopped", saved: true },
    ],
  };
  assert.deepEqual(decodeReport(JSON.parse(JSON.stringify(encodeReport(report)))), report);
  assert.equal(decodeReport(null), null);
  assert.equal(decodeReport([]), null);
});
