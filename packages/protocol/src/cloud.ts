export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  ram: number;
  cacheGb: number;
  fetchGbPerS: number;
  price: number;
  spotPrice: number;
  bootS: number;
  zones: string[];
}

export interface ListedMachine {
  host: string;
  addr: string;
  type: string;
  zone: string;
  spot: boolean;
  state: string;
  ageS: number;
}

export interface Offer {
  type: string;
  zone: string;
  spot: boolean;
}

/** The cloud as the fleet uses it; scenarios stand in for it. */
export interface CloudApi {
  types(): Promise<MachineType[]>;
  /** Null: no capacity for this offer. */
  hire(name: string, offer: Offer, count: number): Promise<string[] | null>;
  remove(hosts: string[]): Promise<void>;
  list(from: string | undefined, limit: number): Promise<{ machines: ListedMachine[]; more: boolean }>;
}
