/** Figures of the users' deployments, as their pages state them. */

/** The newsrooms' deployment. */
export const AUSTRO_PRENSA = {
  name: "austro-prensa",
  zone: "sala-cuenca",
  controllers: 3,
  teams: [
    { name: "mesa-azuay", cpus: 520.0, cpus_max: 1744.0, gpus: 40.0, gpus_max: 88.0 },
    { name: "mesa-loja", cpus: 584.0, cpus_max: 1456.0, gpus: 48.0, gpus_max: 144.0 },
  ],
  objectives: [
    { kind: "wait", class: "cierre", within_s: 8.0, share: 0.92 },
    { kind: "wait", class: "cierre", within_s: 18.0, share: 0.97 },
    { kind: "finished", class: "cierre", within_s: 180.0, share: 0.95 },
    { kind: "guarantee", within_s: 5.0, share: 0.88 },
  ],
  workers: { report_s: 2.5, lease_s: 18.0, gang_wait_s: 35.0, gang_peer_s: 4.0, cancel_s: 43.0 },
  state: { rps: 100.0, write_rps: 25.0, value_kb: 32.0, txn_ops: 16 },
  cloud: { rps: 5.0, list_lag_s: 3.0 },
  quota: { core_share: 0.3, mem_mb: 178.0, sockets: 1500 },
  builds: [
    {
      ...{ label: "redaccion", cpus: 16, accelerators: 0, ramGb: 64, localGb: 60, fetchGbPerS: 0.2, rate: 0.86, marketPrice: 0.2 },
      ...{ bootS: 20, yards: ["sala-cuenca"], count: 11, spotCount: 5 },
    },
    {
      ...{ label: "fotolab", cpus: 96, accelerators: 8, ramGb: 384, localGb: 80, fetchGbPerS: 0.6, rate: 27.16, marketPrice: 6.91 },
      ...{ bootS: 25, yards: ["sala-cuenca"], count: 9, spotCount: 7 },
    },
  ],
};

const CHARGE_TEAMS = { "colombo-ops": [4, 12], "kandy-ops": [4, 12], "galle-ops": [4, 12], "app-crew": [8, 12], "data-desk": [4, 16], "fleet-link": [4, 12] }; // prettier-ignore

/** The charger association's deployment. */
export const CHARGELANKA = {
  name: "chargelanka",
  zone: "colombo-dc",
  controllers: 3,
  teams: Object.entries(CHARGE_TEAMS).map(([name, [gpus, most]]) => ({ name, cpus: 0.0, cpus_max: 0.0, gpus, gpus_max: most })),
  objectives: [
    { kind: "wait", class: "status-merge", within_s: 180.0, share: 0.82 },
    { kind: "finished", class: "status-merge", within_s: 250.0, share: 0.82 },
    { kind: "finished", class: "wait-model", within_s: 250.0, share: 0.8 },
  ],
  workers: { report_s: 3.0, lease_s: 20.0, gang_wait_s: 40.0, gang_peer_s: 5.0, cancel_s: 45.0 },
  state: { rps: 150.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 32 },
  cloud: { rps: 10.0, list_lag_s: 6.0 },
  quota: { core_share: 0.2, mem_mb: 178.0, sockets: 800 },
  builds: [
    {
      ...{ label: "diya", cpus: 24, accelerators: 2, ramGb: 144, localGb: 60, fetchGbPerS: 0.5, rate: 7.2, marketPrice: 2.79 },
      ...{ bootS: 50, yards: ["colombo-dc"], count: 8, spotCount: 8 },
    },
    {
      ...{ label: "maha-diya", cpus: 48, accelerators: 4, ramGb: 192, localGb: 60, fetchGbPerS: 0.5, rate: 9.07, marketPrice: 3.39 },
      ...{ bootS: 50, yards: ["colombo-dc"], count: 6, spotCount: 6 },
    },
  ],
};

/** A submission with defaults for the fields that a case does not care about. */
export function job(number, fields) {
  return {
    ...{ ref: `run-${String(number).padStart(6, "0")}`, lane: "fotos", desk: "mesa-azuay", shape: "sweep", urgency: "low", pieces: 1 },
    ...{ cpus: 1, accelerators: 0, ramGb: 1, bundle: "img-01", imageGb: 1, builds: null, yard: null, samePlace: false, spread: false },
    ...{ loaner: false, guessS: 20, snapshotS: 0, flushS: 0, closeS: null },
    ...fields,
  };
}
