import assert from "node:assert/strict";
import { test } from "node:test";
import { derive } from "../src/settings/derived.js";
import { checkOperators } from "../src/settings/operators.js";
import { parsePlatform } from "../src/settings/platform-file.js";

const valid = `
host_name = "nest-1"
front = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
novelty = 7
[[known]]
host_name = "nest-0"
peer_addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[deployment]
size = 2
[deployment.workers]
report_s = 2.5
lease_s = 18.0
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = 43.0
[deployment.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16
[deployment.cloud]
rps = 5.0
list_lag_s = 3.0
[deployment.quota]
core_share = 0.3
mem_mb = 178.0
sockets = 1500
`;

test("unknown fields of the platform's file are ignored, and errors name the file and the field", () => {
  assert.equal(parsePlatform("s.toml", valid).host_name, "nest-1");
  assert.throws(
    () => parsePlatform("s.toml", valid.replace("lease_s = 18.0", 'lease_s = "long"')),
    /s\.toml: deployment\.workers\.lease_s: /,
  );
  assert.throws(() => parsePlatform("s.toml", valid.replace("txn_ops = 16", "")), /s\.toml: deployment\.state\.txn_ops: /);
  assert.throws(() => parsePlatform("s.toml", "host_name = "), /s\.toml: not TOML/);
});

test("unknown operators' settings are rejected, and known ones are checked", () => {
  assert.equal(checkOperators("o.hcl", {}).exchange.phi, 5);
  assert.equal(checkOperators("o.hcl", { exchange: [{ phi: 9 }] }).exchange.phi, 9);
  assert.throws(() => checkOperators("o.hcl", { exchange: [{ fi: 9 }] }), /o\.hcl: exchange.*fi/);
  assert.throws(() => checkOperators("o.hcl", { queue: [{ order: "random" }] }), /o\.hcl: queue\.order/);
  assert.throws(() => checkOperators("o.hcl", { queue: [{}, {}] }), /given more than once/);
});

test("if cancel_s leaves little margin, silence begins earlier; if it leaves none, the settings are rejected", () => {
  const of = (cancel: number) =>
    derive(parsePlatform("s.toml", valid.replace("cancel_s = 43.0", `cancel_s = ${cancel.toFixed(2)}`)), checkOperators("o.hcl", {}));
  for (const cancel of [18.1, 18.5, 19, 20, 21, 23, 24.1, 30, 60]) {
    const { timing, cautions } = of(cancel);
    // Longest time until a task has ended after its owner lost the state service: the clocks of both the owner and the worker run
    // slow by the maximum drift.
    const gone = (timing.silentAfterMs + timing.leaseMs) / (1 - 0.0005);
    assert.ok(timing.silentAfterMs > 0 && gone < cancel * 1000, `${cancel}: gone after ${gone}`);
    assert.equal(cautions.length, cancel < 24 ? 1 : 0, `${cancel}`);
  }
  for (const cancel of [10, 18, 18.02]) assert.throws(() => of(cancel), /deployment\.workers\.cancel_s: .* expected more than lease_s/);
});

test("the leases of a silent owner's workers expire before the deadline of a cancellation", () => {
  const { timing, nodes } = derive(parsePlatform("s.toml", valid), checkOperators("o.hcl", {}));
  assert.ok(timing.silentAfterMs + timing.expiryMs < 43_000);
  assert.deepEqual(nodes, ["nest-0", "nest-1"]);
});
