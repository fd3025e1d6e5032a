/** The interface to the cloud that rents out machines, and the wire format of its machine types and machines. */

/** A machine type that the cloud rents out, with its resources per machine. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  /** Memory in GB. */
  ram: number;
  /** Local storage in GB. */
  cacheGb: number;
  /** Download rate in GB/s. */
  fetchGbPerS: number;
  /** Price per hour of an on-demand machine. */
  price: number;
  /** Price per hour of a spot machine. */
  spotPrice: number;
  /** Time to boot in seconds. */
  bootS: number;
  zones: string[];
}

/** A rented machine as the cloud lists it. `ageS` is its age in seconds. */
export interface ListedMachine {
  host: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: string;
  ageS: number;
}

/** What the cloud can be asked to rent out: a machine type in a zone, spot or on demand. */
export interface MachineOffering {
  type: string;
  zone: string;
  spot: boolean;
}

/**
 * Interface to the cloud; scenario tests replace it by a model. `limitMs` is the timeout
 * of a call in ms.
 */
export interface CloudApi {
  types(limitMs?: number): Promise<MachineType[]>;
  /**
   * Rents up to `count` machines and returns their host IDs; null if the cloud has no capacity
   * for the offering. `name` identifies the rental: repeating it returns the same machines.
   */
  rent(name: string, offer: MachineOffering, count: number, limitMs?: number): Promise<string[] | null>;
  remove(hosts: string[], limitMs?: number): Promise<void>;
  /** Lists up to `limit` rented machines after the host `from`; `more` is true if further machines follow. */
  list(from: string | undefined, limit: number, limitMs?: number): Promise<{ machines: ListedMachine[]; more: boolean }>;
}

/** Encodes a machine type in the cloud's format. */
export function encodeType(type: MachineType): Record<string, unknown> {
  return {
    label: type.name,
    cpus: type.cpus,
    accelerators: type.gpus,
    ramGb: type.ram,
    localGb: type.cacheGb,
    fetchGbPerS: type.fetchGbPerS,
    rate: type.price,
    marketPrice: type.spotPrice,
    bootS: type.bootS,
    yards: type.zones,
  };
}

/** Encodes a rented machine in the cloud's format. */
export function encodeListed(machine: ListedMachine): Record<string, unknown> {
  const { host, addr, type, zone, spot, state, ageS } = machine;
  return { ref: host, addr, build: type, yard: zone, loaner: spot, status: state, ageS };
}
