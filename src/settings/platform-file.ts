import { parse } from "smol-toml";
import * as z from "zod";

/** Schema of the platform's settings file. */

const amount = z.number().finite().min(0);
const positive = z.number().finite().positive();
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "an address like 10.0.0.1:8080");

const txnOps = z.number().int().min(4);

/** A team's guaranteed resources (`cpus`, `gpus`) and limits (`cpus_max`, `gpus_max`); 0 means that there is none. */
export const teamSchema = z.object({
  name: z.string().min(1),
  cpus: amount.default(0),
  cpus_max: amount.default(0),
  gpus: amount.default(0),
  gpus_max: amount.default(0),
});

/** The platform's settings file. Unknown fields are ignored. */
const schema = z.object({
  host_name: z.string().min(1),
  area: z.string().default(""),
  front: address,
  peer_listen: address,
  known: z.array(z.object({ host_name: z.string().min(1), area: z.string().default(""), peer_addr: address })).default([]),
  endpoints: z.object({ cloud: address, state: address }),
  deployment: z.object({
    size: z.number().int().min(1),
    zones: z.array(z.string()).default([]),
    clock_off_ms: amount.default(1000),
    teams: z.array(teamSchema).default([]),
    objectives: z
      .array(
        z.object({
          kind: z.string(),
          class: z.string().optional(),
          within_s: amount.optional(),
          share: amount.optional(),
        }),
      )
      .default([]),
    workers: z.object({
      report_s: positive,
      lease_s: positive,
      gang_wait_s: positive,
      gang_peer_s: positive,
      cancel_s: positive,
    }),
    state: z.object({
      rps: positive,
      write_rps: positive,
      value_kb: positive,
      txn_ops: txnOps,
      /** Announced limits, which will replace those above at an unspecified later time. */
      next: z.object({ rps: positive, write_rps: positive, value_kb: positive, txn_ops: txnOps }).partial().default({}),
    }),
    cloud: z.object({ rps: positive, list_lag_s: amount }),
    quota: z.object({ core_share: positive, mem_mb: positive, sockets: z.number().int().min(16) }),
  }),
});

/** The platform's settings after validation. */
export type PlatformSettings = z.infer<typeof schema>;
/** Guaranteed resources and limits of one team. */
export type TeamSettings = PlatformSettings["deployment"]["teams"][number];

/** Invalid settings; the message names the file and the field. */
export class SettingsError extends Error {}

/** Formats validation issues in one line. */
export function describeIssues(file: string, error: z.ZodError): string {
  return error.issues.map((issue) => `${file}: ${issue.path.join(".") || "(top)"}: ${issue.message}`).join("; ");
}

/** Parses and checks the platform's settings (TOML). Throws SettingsError. */
export function parsePlatform(file: string, text: string): PlatformSettings {
  let raw: unknown;
  try {
    raw = parse(text);
  } catch (error) {
    throw new SettingsError(`${file}: not TOML: ${(error as Error).message.split("\n")[0]}`);
  }
  return checkPlatform(file, raw);
}

/** Checks the platform's settings. Throws SettingsError. */
export function checkPlatform(file: string, raw: unknown): PlatformSettings {
  const result = schema.safeParse(raw);
  if (!result.success) throw new SettingsError(describeIssues(file, result.error));
  return result.data;
}
