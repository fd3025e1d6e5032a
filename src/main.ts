import { readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Command, CommanderError } from "commander";
import { derive, type Settings } from "./settings/derived.js";
import { checkOperators } from "./settings/operators.js";
import { parsePlatform, SettingsError } from "./settings/platform-file.js";

declare const THORNTRAIL_VERSION: string;

function read(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read: ${(error as Error).message}`);
  }
}

/** The operators' HCL is turned into JSON when the service is built. */
function load(config: string): Settings {
  const operatorsFile = join(dirname(fileURLToPath(import.meta.url)), "operators.json");
  const operators = checkOperators("deploy/operators.hcl", JSON.parse(read(operatorsFile)));
  return derive(parsePlatform(config, read(config)), operators);
}

const program = new Command("thorntrail")
  .description("Cluster scheduler made of superscheduling controllers")
  .version(THORNTRAIL_VERSION)
  .exitOverride()
  .showHelpAfterError(false);

program
  .command("serve")
  .description("run one controller until it is ended")
  .requiredOption("--config <file>", "settings the platform hands over (TOML)")
  .action(async (options: { config: string }) => {
    const settings = load(options.config);
    const { serve } = await import("./serve.js");
    serve(settings);
  });

program
  .command("check")
  .description("check the settings and print what follows from them")
  .requiredOption("--config <file>", "settings the platform hands over (TOML)")
  .action((options: { config: string }) => {
    const settings = load(options.config);
    process.stdout.write(
      `${JSON.stringify({ self: settings.self, nodes: settings.nodes, state: settings.state, timing: settings.timing, operators: settings.operators }, null, 2)}\n`,
    );
  });

const ask = (name: string, what: string) =>
  program.command(name).description(what).requiredOption("--node <address>", "front address of any controller");
const print = (value: unknown): void => void process.stdout.write(`${JSON.stringify(value)}\n`);

ask("submit", "submit the job described in a JSON file")
  .argument("<file>")
  .action(async (file: string, options: { node: string }) => print(await (await import("./cli/client.js")).submitJob(options.node, file)));
ask("show", "show the state of a job")
  .argument("<ref>")
  .action(async (ref: string, options: { node: string }) => print(await (await import("./cli/client.js")).showJob(options.node, ref)));
ask("cancel", "cancel a job")
  .argument("<ref>")
  .action(async (ref: string, options: { node: string }) => print(await (await import("./cli/client.js")).cancelJob(options.node, ref)));
ask("status", "show parts, owners, queues, machines and allotments")
  .option("--json", "for scripts")
  .action(async (options: { node: string; json?: boolean }) => {
    const client = await import("./cli/client.js");
    const view = await client.clusterStatus(options.node);
    if (options.json === true) print(view);
    else process.stdout.write(`${client.statusLines(view)}\n`);
  });

try {
  await program.parseAsync();
} catch (error) {
  if (error instanceof CommanderError) process.exitCode = error.exitCode === 0 ? 0 : 2;
  else if (error instanceof SettingsError) {
    process.stderr.write(`thorntrail: ${error.message}\n`);
    process.exitCode = 3;
  } else if ((error as Error).constructor.name === "CommandFailed") {
    process.stderr.write(`thorntrail: ${(error as Error).message}\n`);
    process.exitCode = 4;
  } else throw error;
}
