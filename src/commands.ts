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
    .description("run one controller until it is ended")
    .requiredOption("--config <file>", "settings the platform hands over (TOML)")
    .action(async (options: { config: string }) => {
      const settings = loadSettings(dir, options.config);
      (await import("./serve.js")).serve(settings);
    });

  program
    .command("check")
    .description("check the settings and print what follows from them")
    .requiredOption("--config <file>", "settings the platform hands over (TOML)")
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
  nodeCommand("status", "show parts, owners, queues, machines and allotments")
    .option("--json", "for scripts")
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
      .requiredOption("--config <file>", "settings of any controller (TOML): where the state service is");
  const configurationCli = () => import("./cli/configuration.js");
  configCommand("get", "show the newest version and its teams").action(async (options: { config: string }) =>
    print(await (await configurationCli()).getConfiguration(loadSettings(dir, options.config))),
  );
  configCommand("set", "change teams as a file (TOML) says: [[teams]] to add or to give other limits, remove = [names]")
    .argument("<file>")
    .action(async (file: string, options: { config: string }) =>
      print(await (await configurationCli()).setConfiguration(loadSettings(dir, options.config), file)),
    );
  configCommand("history", "show what each version changed").action(async (options: { config: string }) => {
    for (const one of await (await configurationCli()).configurationHistory(loadSettings(dir, options.config))) print(one);
  });
  configCommand("wait", "wait until a version is in force everywhere")
    .argument("<version>", "as `set` printed it", (text: string) => wholeNumber(text))
    .option("--within <seconds>", "give up after", (text: string) => wholeNumber(text), 30)
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
    .description("serve the state kept in a folder until ended")
    .requiredOption("--listen <address>", "where controllers reach it, such as 127.0.0.1:2379; port 0: any free one")
    .requiredOption("--data <dir>", "folder of the data; made if it is not there")
    .option("--config <file>", "limits (HCL), see deploy/store.hcl")
    .option("--admin <address>", "where operators reach health, metrics, limits and snapshots")
    .action(async (options: { listen: string; data: string; config?: string; admin?: string }) =>
      (await import("@thorntrail/store/entry")).storeServe(options),
    );
  store
    .command("check")
    .description("read all there is in a data folder and say what does not add up")
    .argument("<dir>")
    .option("--json", "for scripts")
    .action(async (dir: string, options: { json?: boolean }) => {
      const findings = await (await import("@thorntrail/store/entry")).storeCheck(dir);
      printResult(findings, options.json);
      if (findings.faults.length > 0) process.exitCode = 4;
    });
  store
    .command("snapshot")
    .description("write a data folder that nobody serves into one file")
    .argument("<dir>")
    .argument("<file>")
    .option("--json", "for scripts")
    .action(async (dir: string, file: string, options: { json?: boolean }) =>
      printResult(await (await import("@thorntrail/store/entry")).storeSnapshot(dir, file), options.json),
    );
  store
    .command("restore")
    .description("make a new data folder from a snapshot; revisions go on well past its own")
    .argument("<file>")
    .argument("<dir>")
    .option("--skip <revisions>", "revisions to skip; more than were handed out since the snapshot", (text) => wholeNumber(text))
    .option("--json", "for scripts")
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
    .description("a small cluster on this machine: an evening's work, a controller and a machine lost on the way")
    .option("--plan <file>", "what is played (HCL)", "deploy/demo.hcl")
    .option("--seed <n>", "luck of boots and run times", wholeNumber, 1)
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
    .description("play a plan of work and faults, check every rule, and say what broke")
    .argument("<plan>", "plan file (HCL), such as deploy/rehearsal.hcl")
    .option("--virtual", "in virtual time instead of on real processes")
    .option(
      "--campaign <n>",
      "virtual: faults met with moments by pairwise covering instead of the plan's own, at most n rehearsals",
      wholeNumber,
    )
    .option("--drawn <n>", "virtual: n rehearsals of two or three drawn faults each, the first by the seed", wholeNumber)
    .option("--soak <n>", "n seeds of faults at random moments, on real processes or virtual, the first by the seed", wholeNumber)
    .option("--keep <folder>", "where a seed of a soak that goes wrong leaves its logs and history", "target/soak")
    .option("--keep-all", "soak: every seed leaves them")
    .option("--processes <n>", "that share a campaign, what is drawn, or a soak", wholeNumber, 1)
    .addOption(new Option("--turn <i/n>").hideHelp())
    .option("--seed <n>", "instead of the plan's", wholeNumber)
    .option("--report <file>", "write the whole report as JSON")
    .action(async (plan: string, options: Rehearse) => {
      const { seed, report, campaign, drawn, soak, keep, keepAll = false, processes, turn } = options;
      if (options.virtual !== true && (campaign ?? drawn) !== undefined)
        throw new InvalidArgumentError("--campaign and --drawn need --virtual");
      if ([campaign, drawn, soak].filter((one) => one !== undefined).length > 1)
        throw new InvalidArgumentError("--campaign, --drawn or --soak, not two of them");
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
    .description("a place to rehearse in by hand")
    .command("serve")
    .description("store, controllers, cloud and workers of a plan on this machine, until ended")
    .argument("<plan>", "plan file (HCL); its work and faults are left out")
    .requiredOption("--admin <address>", "where faults, jobs and status are taken, such as 127.0.0.1:7070")
    .option("--seed <n>", "instead of the plan's", wholeNumber)
    .action(async (plan: string, options: { admin: string; seed?: number }) =>
      (await import("@thorntrail/emulator/entry")).emulatorServe({ plan, program: ownCommand(), admin: options.admin, seed: options.seed }),
    );
  program
    .command("fault")
    .description("have one fault happen in a running emulator, now")
    .requiredOption("--emulator <address>", "its admin address")
    .argument("<kind>", "such as restart, freeze, cut, lose; see docs/operations/rehearsals.md")
    .argument("[fields...]", "such as target=leader for=10")
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
