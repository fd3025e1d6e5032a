import assert from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { test } from "node:test";
import { findViolations } from "@thorntrail/emulator/checker";
import { playScenario } from "./world/scenario.js";

for (const file of readdirSync("test/scenarios").sort()) {
  const text = readFileSync(`test/scenarios/${file}`, "utf8");
  test(`${file.replace(/\.txt$/, "")}: ${text.split("\n")[0]!.replace(/^# */, "")}`, async () => {
    const { world, failures } = await playScenario(text);
    assert.deepEqual(findViolations(world.history, world.limits()), [], "broken rules");
    assert.deepEqual(failures, [], "expectations");
    assert.deepEqual(world.errors, [], "errors logged");
  });
}
