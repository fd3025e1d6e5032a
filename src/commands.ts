import { join } from "node:path";
import { Command, CommanderError, InvalidArgumentError, Option } from "commander";
import { reportError, loadSettings } from "./settings/load.js";

declare const THORNTRAIL_VERSION: string;

/** Runs the command line. `dir`: folder of the build's files. */
export async function main(dir: string): Promise<void> {
  const program = new Command("thorntrail")
    .description("Cluster scheduler made of superscheduling controllers")
    .version(THORNTRAIL_VERSION)
    .exitOverride()
    .showHelpAfterError(false);

  program
    .command("serve")
    .description("run one controller until it is terminated")
    .requiredOption("--config <file>", "the platform's settings file (TOML)")
    .action(async (options: { config: string }) => {
      const settings = loadSettings(dir, options.config);
      (await import("./serve.js")).serve(settings);
    });

  program
    .command("check")
    .description("check the settings and print the values derived from them")
    .requiredOption("--config <file>", "the platform's settings file (TOML)")
    .action((options: { config: string }) => {
      const settings = loadSettings(dir, options.config);
      process.stdout.write(
        `${JSON.stringify({ self: settings.self, nodes: settings.nodes, state: settings.state, timing: settings.timing, cautions: settings.cautions, operators: settings.operators }, null, 2)}\n`,
      );
    });

  const nodeCommand = (name: string, what: string) =>
    program.command(name).description(what).requiredOption("--node <address>", "front address of any controller");
  const print = (value: unknown): void => void process.stdout.write(`${JSON.stringify(value)}\n`);

  nodeCommand("submit", "submit the job described in a JSON file")
    .argument("<file>")
    .action(async (file: string, options: { node: string }) =>
      print(await (await import("./cli/client.js")).submitJob(options.node, file)),
    );
  nodeCommand("show", "show the state of a job")
    .argument("<ref>")
    .action(async (ref: string, options: { node: string }) => print(await (await import("./cli/client.js")).showJob(options.node, ref)));
  nodeCommand("cancel", "cancel a job")
    .argument("<ref>")
    .action(async (ref: string, options: { node: string }) => print(await (await import("./cli/client.js")).cancelJob(options.node, ref)));
  nodeCommand("status", "show partitions, owners, queues, machines and quota shares")
    .option("--json", "print JSON, for scripts")
    .action(async (options: { node: string; json?: boolean }) => {
      const client = await import("./cli/client.js");
      const view = await client.clusterStatus(options.node);
      if (options.json === true) print(view);
      else process.stdout.write(`${client.statusLines(view)}\n`);
    });

  const config = program.command("config").description("teams that change while the service runs");
  const configCommand = (name: string, what: string) =>
    config
      .command(name)
      .description(what)
      .requiredOption("--config <file>", "settings of any controller (TOML), which give the address of the state service");
  const configurationCli = () => import("./cli/configuration.js");
  configCommand("get", "show the newest version and its teams").action(async (options: { config: string }) =>
    print(await (await configurationCli()).getConfiguration(loadSettings(dir, options.config))),
  );
  configCommand("set", "apply changes from a file (TOML): [[teams]] adds teams or changes their limits, remove = [names] removes teams")
    .argument("<file>")
    .action(async (file: string, options: { config: string }) =>
      print(await (await configurationCli()).setConfiguration(loadSettings(dir, options.config), file)),
    );
  configCommand("history", "show what each version changed").action(async (options: { config: string }) => {
    for (const one of await (await configurationCli()).configurationHistory(loadSettings(dir, options.config))) print(one);
  });
  configCommand("wait", "wait until a version is in force everywhere")
    .argument("<version>", "version as printed by `set`", (text: string) => wholeNumber(text))
    .option("--within <seconds>", "time limit in seconds", (text: string) => wholeNumber(text), 30)
    .action(async (version: number, options: { config: string; within: number }) => {
      const printProgress = (text: string): void => void process.stderr.write(`${text}\n`);
      print(
        await (
          await configurationCli()
        ).waitForConfiguration(loadSettings(dir, options.config), version, options.within * 1000, printProgress),
      );
    });

  const store = program.command("store").description("the state service for one machine");
  const printResult = (value: unknown, json: boolean | undefined): void =>
    void process.stdout.write(
      json === true
        ? `${JSON.stringify(value)}\n`
        : `${Object.entries(value as Record<string, unknown>)
            .map(([name, one]) => `${name}: ${Array.isArray(one) ? one.join("; ") || "none" : String(one)}`)
            .join("\n")}\n`,
    );
  store
    .command("serve")
    .description("serve the state in a data folder until terminated")
    .requiredOption("--listen <address>", "address for controllers, such as 127.0.0.1:2379; port 0: any free port")
    .requiredOption("--data <dir>", "data folder; created if it does not exist")
    .option("--config <file>", "limits (HCL), see deploy/store.hcl")
    .option("--admin <address>", "address for health, metrics, limits and snapshots")
    .action(async (options: { listen: string; data: string; config?: string; admin?: string }) =>
      (await import("@thorntrail/store/entry")).storeServe(options),
    );
  store
    .command("check")
    .description("check a data folder and print all inconsistencies")
    .argument("<dir>")
    .option("--json", "print JSON, for scripts")
    .action(async (dir: string, options: { json?: boolean }) => {
      const findings = await (await import("@thorntrail/store/entry")).storeCheck(dir);
      printResult(findings, options.json);
      if (findings.faults.length > 0) process.exitCode = 4;
    });
  store
    .command("snapshot")
    .description("write a data folder that no process serves to one file")
    .argument("<dir>")
    .argument("<file>")
    .option("--json", "print JSON, for scripts")
    .action(async (dir: string, file: string, options: { json?: boolean }) =>
      printResult(await (await import("@thorntrail/store/entry")).storeSnapshot(dir, file), options.json),
    );
  store
    .command("restore")
    .description("create a data folder from a snapshot; revisions continue well after those of the snapshot")
    .argument("<file>")
    .argument("<dir>")
    .option("--skip <revisions>", "revisions to skip; more than were handed out since the snapshot", (text) => wholeNumber(text))
    .option("--json", "print JSON, for scripts")
    .action(async (file: string, dir: string, options: { skip?: number; json?: boolean }) =>
      printResult(await (await import("@thorntrail/store/entry")).storeRestore(file, dir, options.skip), options.json),
    );

  /** Command line with which child processes are started. */
  const ownCommand = (): string[] => [process.execPath, join(dir, "main.js")];
  const loadInjectionPoints = async () => (await import("./rehearsal/injection-points.js")).injectionPointOf;
  const wholeNumber = (text: string): number => {
    if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError("expected a whole number");
    return Number(text);
  };

  program
    .command("demo")
    .description("run a small cluster on this machine, with a controller restart and the loss of a machine")
    .option("--plan <file>", "plan file (HCL)", "deploy/demo.hcl")
    .option("--seed <n>", "seed of boot times and run times", wholeNumber, 1)
    .action(async (options: { plan: string; seed: number }) =>
      (await import("@thorntrail/emulator/entry")).demo({
        ...options,
        program: ownCommand(),
        injectionPointOf: await loadInjectionPoints(),
      }),
    );

  interface Rehearse {
    virtual?: boolean;
    campaign?: number;
    drawn?: number;
    soak?: number;
    keep: string;
    keepAll?: boolean;
    processes: number;
    turn?: string;
    seed?: number;
    report?: string;
  }

  program
    .command("rehearse")
    .description("play a plan of work and faults, check every rule and report violations")
    .argument("<plan>", "plan file (HCL), such as deploy/rehearsal.hcl")
    .option("--virtual", "in virtual time instead of on real processes")
    .option(
      "--campaign <n>",
      "virtual: faults combined with injection points by pairwise covering instead of the plan's faults, at most n rehearsals",
      wholeNumber,
    )
    .option("--drawn <n>", "virtual: n rehearsals of two or three random faults each; the seed selects the first", wholeNumber)
    .option(
      "--soak <n>",
      "n rehearsals with faults at random times, on real processes or in virtual time, with consecutive seeds; --seed sets the first",
      wholeNumber,
    )
    .option("--keep <folder>", "soak: folder for the logs and history of seeds that fail", "target/soak")
    .option("--keep-all", "soak: keep the logs and history of every seed")
    .option("--processes <n>", "number of processes that share a campaign, randomised plans or a soak", wholeNumber, 1)
    .addOption(new Option("--turn <i/n>").hideHelp())
    .option("--seed <n>", "seed to use instead of the plan's", wholeNumber)
    .option("--report <file>", "write the whole report as JSON")
    .action(async (plan: string, options: Rehearse) => {
      const { seed, report, campaign, drawn, soak, keep, keepAll = false, processes, turn } = options;
      if (options.virtual !== true && (campaign ?? drawn) !== undefined)
        throw new InvalidArgumentError("--campaign and --drawn need --virtual");
      if ([campaign, drawn, soak].filter((one) => one !== undefined).length > 1)
        throw new InvalidArgumentError("only one of --campaign, --drawn and --soak is allowed");
      const { playVirtually, rehearseVirtual } = await import("./rehearsal/virtual.js");
      const program = ownCommand();
      if (options.virtual === true) return rehearseVirtual({ plan, seed, report, campaign, drawn, soak, processes, turn, program });
      const { rehearseReal, rehearseSoak } = await import("@thorntrail/emulator/entry");
      if (soak !== undefined)
        return rehearseSoak({
          plan,
          program,
          seeds: soak,
          first: seed,
          report,
          keep,
          keepAll,
          processes,
          turn,
          injectionPointOf: await loadInjectionPoints(),
        });
      await rehearseReal({ plan, program, seed, report, injectionPointOf: await loadInjectionPoints(), runVirtual: playVirtually });
    });

  program
    .command("emulator")
    .description("a test environment for rehearsals by hand")
    .command("serve")
    .description("run the store, controllers, cloud and workers of a plan on this machine until terminated")
    .argument("<plan>", "plan file (HCL); its work and faults are left out")
    .requiredOption("--admin <address>", "address for faults, jobs and status, such as 127.0.0.1:7070")
    .option("--seed <n>", "seed to use instead of the plan's", wholeNumber)
    .action(async (plan: string, options: { admin: string; seed?: number }) =>
      (await import("@thorntrail/emulator/entry")).emulatorServe({ plan, program: ownCommand(), admin: options.admin, seed: options.seed }),
    );
  program
    .command("fault")
    .description("inject one fault into a running emulator now")
    .requiredOption("--emulator <address>", "admin address of the emulator")
    .argument("<kind>", "kind of fault, such as restart, freeze, cut, lose; see docs/operations/rehearsals.md")
    .argument("[fields...]", "fields of the fault, such as target=leader for=10")
    .action(async (kind: string, fields: string[], options: { emulator: string }) =>
      print(await (await import("@thorntrail/emulator/entry")).faultCommand({ emulator: options.emulator, kind, fields })),
    );

  try {
    await program.parseAsync();
  } catch (error) {
    if (error instanceof CommanderError) process.exitCode = error.exitCode === 0 ? 0 : 2;
    else reportError(error);
  }
}
