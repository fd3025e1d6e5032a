import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { parse } from "smol-toml";

const run = (parse(readFileSync("deploy/service.toml", "utf8")) as { run: string }).run.split(/\s+/).slice(1);
const flags = run.slice(0, run.indexOf("target/main.js"));
const node = (args: string[]) => spawnSync(process.execPath, args, { encoding: "utf8" });
const name = /service-[0-9a-f]{16}\.cjs/.exec(readFileSync("target/main.js", "utf8"))![0];

/** Whether V8 accepts the build's code cache in a process with these flags. */
function cacheAccepted(withFlags: string[]): boolean {
  const code = `
    const { Script } = require("node:vm"), { readFileSync } = require("node:fs");
    const source = "(function(exports,require,module,__filename,__dirname){" + readFileSync("target/${name}", "latin1") + "\\n})";
    const script = new Script(source, { cachedData: readFileSync("target/${name}.cache") });
    process.stdout.write(String(script.cachedDataRejected));`;
  return node([...withFlags, "-e", code]).stdout === "false";
}

// A code cache that V8 rejects makes each start of the program slower than without one, and no other test would detect it.
test("the build's code cache is accepted by a process with the flags of `run`, and rejected with other flags", () => {
  assert.ok(readdirSync("target").includes(`${name}.cache`), "the build made no cache");
  assert.ok(cacheAccepted(flags));
  assert.ok(!cacheAccepted([...flags, "--no-lazy"]));
});

test("serve reports a settings error in one line with a code cache, without one, and with an invalid one", () => {
  const dir = mkdtempSync(join(tmpdir(), "thorntrail-launch-"));
  for (const file of ["main.js", "package.json", "operators.json", name]) cpSync(`target/${file}`, join(dir, file));
  const serve = () => node([...flags, join(dir, "main.js"), "serve", "--config", join(dir, "none.toml")]);
  const caches = [
    undefined,
    readFileSync(`target/${name}.cache`),
    Buffer.from("not a cache"),
    readFileSync(`target/${name}.cache`).subarray(0, 5000),
  ];
  for (const cache of caches) {
    if (cache !== undefined) writeFileSync(join(dir, `${name}.cache`), cache);
    const { status, stderr } = serve();
    assert.equal(status, 3, stderr);
    assert.match(stderr, /^thorntrail: .*none\.toml: cannot be read: .*\n$/);
  }
  rmSync(dir, { recursive: true });
});

test("an invalid command line is reported and does not start the service", () => {
  for (const args of [["serve"], ["serve", "--config"], ["serve", "--config", "a", "b"], ["serve", "--confg", "a"]]) {
    const { status, stderr } = node(["target/main.js", ...args]);
    assert.equal(status, 2, `${args.join(" ")}: ${stderr}`);
  }
});
