import assert from "node:assert/strict";
import { test } from "node:test";
import { Processes } from "../src/real/processes.js";

test("a process is not started while one of the same name is running: the first would never be killed", async () => {
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
    await assert.rejects(processes.start("nest-0", waits, {}, true), /nest-0 is already running/);
    assert.equal(processes.pid("nest-0"), pid);
    await processes.kill("nest-0");
    assert.equal(await processes.start("nest-0", waits, {}, true), "up", "the name can be reused after the process has exited");
  } finally {
    processes.killAll();
  }
  assert.deepEqual(ended, []);
});
