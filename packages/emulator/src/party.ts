/**
 * Selectors for the endpoints of network rules: one name, all endpoints of a kind, a list of names, or a sample of the
 * machines. They are plain data, so that rules can be sent to other processes.
 */

/** The machines whose names hash into the range from `least` to `most`, within 0 to 1. Machines rented later are included. */
export interface MachineSample {
  least: number;
  most: number;
}

/** A name, `*`, `workers`, `controllers`, a list of names, or a sample of the machines. */
export type Party = string | readonly string[] | MachineSample;

const SERVICES = new Set(["state", "cloud"]);

/** The cloud names all machines in one form. */
export const isMachine = (name: string): boolean => name.startsWith("i-");

/**
 * Hashes a name to [0, 1): FNV-1a with a final mix, because names that differ only in the last digit would otherwise
 * hash close together.
 */
function placeOf(name: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i++) hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

/** Whether the name is that of a machine in the sample. */
export function inSample({ least, most }: MachineSample, name: string): boolean {
  const place = placeOf(name);
  return isMachine(name) && place >= least && place < most;
}

/** Whether the selector matches the endpoint of this name. */
export function isParty(party: Party, name: string): boolean {
  if (typeof party === "string") {
    if (party === "*" || party === name) return true;
    if (party === "workers") return isMachine(name);
    return party === "controllers" && !isMachine(name) && !SERVICES.has(name);
  }
  return "least" in party ? inSample(party, name) : party.includes(name);
}
