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
      `${JSON.stringify({ self: settings.self, nodes: settings.nodes, timing: settings.timing, operators: settings.operators }, null, 2)}\n`,
    );
  });

try {
  await program.parseAsync();
} catch (error) {
  if (error instanceof CommanderError) process.exitCode = error.exitCode === 0 ? 0 : 2;
  else if (error instanceof SettingsError) {
    process.stderr.write(`thorntrail: ${error.message}\n`);
    process.exitCode = 3;
  } else throw error;
}
