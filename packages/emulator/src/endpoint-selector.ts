/**
 * Selectors for the endpoints of network rules: one name, all endpoints of a kind, a list of names, or a sample of the
 * machines. They are plain data, so that rules can be sent to other processes.
 */

/** The machines whose names hash to a number from `least` to `most`, within 0 to 1. Machines rented later are included. */
export interface MachineSample {
  least: number;
  most: number;
}

/** The name of an endpoint, `*` (all), `workers`, `controllers`, a list of names, or a sample of the machines. */
export type EndpointSelector = string | readonly string[] | MachineSample;

const SERVICE_NAMES = new Set(["state", "cloud"]);

/** Whether the name is that of a machine: all names that the cloud assigns begin with `i-`. */
export const isMachine = (name: string): boolean => name.startsWith("i-");

/**
 * Hashes a name to [0, 1): FNV-1a with a final mix, because names that differ only in the last digit would otherwise
 * hash close together.
 */
function hashToUnitInterval(name: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < name.length; i++) hash = Math.imul(hash ^ name.charCodeAt(i), 0x01000193);
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
}

/** Whether the name is that of a machine and its hash lies within the bounds of the sample. */
export function isInSample({ least, most }: MachineSample, name: string): boolean {
  const position = hashToUnitInterval(name);
  return isMachine(name) && position >= least && position < most;
}

/** Whether the selector matches the endpoint of this name. */
export function matchesEndpoint(selector: EndpointSelector, name: string): boolean {
  if (typeof selector === "string") {
    if (selector === "*" || selector === name) return true;
    if (selector === "workers") return isMachine(name);
    return selector === "controllers" && !isMachine(name) && !SERVICE_NAMES.has(name);
  }
  return "least" in selector ? isInSample(selector, name) : selector.includes(name);
}
