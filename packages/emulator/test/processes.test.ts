import assert from "node:assert/strict";
import { test } from "node:test";
import { Processes } from "../src/real/processes.js";

test("a process whose name runs already is not started beside it: the first would be left behind", async () => {
  const ended: string[] = [];
  const processes = new Processes(
    [process.execPath, "-e"],
    () => undefined,
    (name) => void ended.push(name),
  );
  const waits = ["console.log('up'); setTimeout(() => undefined, 60_000)"];
  try {
    assert.equal(await processes.start("nest-0", waits, {}, true), "up");
    const pid = processes.pid("nest-0");
    await assert.rejects(processes.start("nest-0", waits, {}, true), /nest-0 runs already/);
    assert.equal(processes.pid("nest-0"), pid);
    await processes.kill("nest-0");
    assert.equal(await processes.start("nest-0", waits, {}, true), "up", "once it is gone its name is free");
  } finally {
    processes.killAll();
  }
  assert.deepEqual(ended, []);
});
