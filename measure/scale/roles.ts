import { ROLE } from "./cell.js";
import { runClients } from "./clients.js";
import { runHollowWorkers } from "./hollow-workers.js";

/** Plays the part that this process was started for; false: none, it is the coordinator. */
export function playRole(): boolean {
  const role = process.env[ROLE];
  if (role === "workers") runHollowWorkers();
  else if (role === "clients") runClients();
  return role !== undefined;
}
