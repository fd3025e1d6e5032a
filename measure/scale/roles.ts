import { ROLE_VARIABLE } from "./test-cluster.js";
import { runClients } from "./clients.js";
import { runHollowWorkers } from "./hollow-workers.js";

/** Runs the role that this process was forked for. Returns false if it was not forked, so it is the coordinator. */
export function runForkedRole(): boolean {
  const role = process.env[ROLE_VARIABLE];
  if (role === "workers") runHollowWorkers();
  else if (role === "clients") runClients();
  return role !== undefined;
}
