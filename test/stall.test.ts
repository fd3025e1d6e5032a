import { CallError } from "@thorntrail/protocol/errors";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { reachabilityOf } from "../src/partitions/fitness.js";
import { newPartition } from "../src/partitions/partition.js";
import { HttpClient } from "../src/platform/http.js";
import { StallDetectingClock } from "../src/platform/stall.js";
import { newMachine } from "../src/workers/machine.js";
import { VirtualClock } from "@thorntrail/emulator/virtual/clock";
import { defaultWorldOptions, VirtualWorld } from "@thorntrail/emulator/entry";
import { spawnController } from "../src/rehearsal/spawn-controller.js";

test("the first call of the clock after a stall notifies subscribers before it returns", async () => {
  const world = new VirtualClock();
  const clock = new StallDetectingClock(world, 1000);
  const stalls: number[] = [];
  clock.stall$.subscribe((ms) => {
    // A subscriber may call the clock that notifies it.
    clock.now();
    stalls.push(ms);
  });
  await world.run(900);
  clock.now();
  await world.run(1800);
  assert.equal(clock.now(), 1800);
  assert.deepEqual(stalls, [], "no gap exceeds the limit");
  await world.run(9000);
  clock.now();
  clock.now();
  assert.deepEqual(stalls, [7200]);
});

test("a node classifies the share of its machines that report, counting only those that should", () => {
  const partition = newPartition(0, 5, 0);
  const now = 100_000;
  const ages = [1000, 9000, 9000, 9000, 9000, 9000, 9000, 9000, 9000, 9000];
  ages.forEach((age, i) => {
    const machine = newMachine(`i-${i}`, "m", "a", false, { cpus: 1, gpus: 0, ram: 1 }, 0);
    Object.assign(machine, { up: true, lastReceivedAt: now - age });
    partition.machines.set(machine.host, machine);
  });
  assert.equal(reachabilityOf([partition], now, 5000), "few");
  partition.takenOverAt = now - 1000;
  assert.equal(reachabilityOf([partition], now, 5000), "unsure", "a partition that was just claimed gives no evidence yet");
  partition.takenOverAt = 0;
  for (const machine of partition.machines.values()) if (machine.host > "i-6") machine.lastReceivedAt = machine.lastReportAt = now;
  assert.equal(reachabilityOf([partition], now, 5000), "unsure");
  for (const machine of partition.machines.values()) machine.lastReceivedAt = machine.lastReportAt = now;
  assert.equal(reachabilityOf([partition], now, 5000), "most");
  for (const machine of partition.machines.values()) machine.deleting = true;
  assert.equal(reachabilityOf([partition], now, 5000), "unsure");
});

test("a request whose connection is established after its deadline is not sent", async () => {
  let served = 0;
  const server = createServer((_req, res) => {
    served++;
    res.end("{}");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const addr = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = new HttpClient(1);
  assert.equal((await client.call(addr, "GET", "/", undefined, 1000)).status, 200);
  // A request with no time left is not sent, neither on an idle connection nor on a new one.
  for (const one of [client, new HttpClient(1)]) {
    const late = one.call(addr, "POST", "/", {}, 0);
    await assert.rejects(late, (error: unknown) => error instanceof CallError);
  }
  assert.equal(served, 1);
  server.close();
  server.closeAllConnections();
});

test("an owner that wakes from a long stall is silent until it has read the current state", async () => {
  const world = new VirtualWorld(defaultWorldOptions(), spawnController);
  for (const name of world.nodes.keys()) world.startController(name);
  await world.clock.run(5000);
  const { leader } = world.nodes.get("nest-0")!.controller!;
  assert.equal(leader.isSilent(), false);
  leader.onStall(1500);
  assert.equal(leader.isSilent(), false, "its presence cannot have expired");
  leader.onStall(10_000);
  assert.equal(leader.isSilent(), true);
  await world.clock.run(5500);
  assert.equal(leader.isSilent(), false);
  for (const name of world.nodes.keys()) world.killController(name);
});
