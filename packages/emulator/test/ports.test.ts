import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import { PortAllocator } from "../src/real/ports.js";

test("allocated ports are free, and none is allocated twice", async () => {
  const ports = new PortAllocator();
  const allocated = new Set<number>();
  for (let i = 0; i < 20; i++) allocated.add(await ports.allocate());
  assert.equal(allocated.size, 20);
  assert.ok(Math.max(...allocated) < 32_768, "below the ephemeral port range");
  for (const port of allocated) {
    const server = createServer();
    await new Promise<void>((resolve, reject) => server.once("error", reject).listen(port, "127.0.0.1", resolve));
    server.close();
  }
});
