import type { Committer } from "../ledger/committer.js";
import type { Mirror } from "../ledger/mirror.js";
import { keys, type AllotmentRecord } from "../ledger/records.js";
import type { Scope } from "../platform/scope.js";
import type { Settings } from "../settings/derived.js";
import { allotted, type Part, type Usage } from "./part.js";

/** Splits `max` over `n` parts in whole units, the remainder to the first. */
function split(max: number, n: number): (number | null)[] {
  if (max <= 0) return Array<null>(n).fill(null);
  const each = Math.floor(max / n);
  return Array.from({ length: n }, (_, i) => (i === 0 ? max - each * (n - 1) : each));
}

/**
 * Team limits, split durably over the parts. Only a part's leader makes its
 * own share smaller, and only by what it does not use, so that the sum of what
 * all parts run never passes the limit, whoever is cut off from whom.
 */
export class QuotaShares {
  /** Ceded, but the transaction has not been answered for certain. */
  private readonly ceding = new Map<string, Usage>();

  constructor(
    private readonly settings: Settings,
    private readonly mirror: Mirror,
    private readonly committer: Committer,
    private readonly scope: Scope,
  ) {}

  start(): void {
    this.scope.routine(
      "allotments",
      () => this.settings.timing.presenceMs / 4,
      () => this.ensure(),
    );
  }

  private ensure(): void {
    if (!this.mirror.loaded) return;
    const n = this.settings.nodes.length;
    for (const team of this.settings.platform.deployment.teams) {
      const key = keys.allotment(team.name);
      if (this.mirror.get(key) !== undefined) continue;
      const value: AllotmentRecord = { cpus: split(team.cpus_max, n), gpus: split(team.gpus_max, n) };
      void this.committer.commit(
        "allotment",
        () => (this.mirror.get(key) !== undefined ? null : { conditions: [{ k: key, stamp: 0 }], apply: [{ write: key, v: value }] }),
        {
          shedAfterMs: this.settings.timing.presenceMs / 4,
        },
      );
    }
  }

  held(part: number, team: string): Usage {
    const share = allotted(this.mirror.get<AllotmentRecord>(keys.allotment(team))?.v, part);
    const ceding = this.ceding.get(`${part}|${team}`);
    return ceding === undefined ? share : { cpus: share.cpus - ceding.cpus, gpus: share.gpus - ceding.gpus };
  }

  /** Gives up to `want` of what `spare` says is not needed here to another part. */
  cede(part: Part, to: number, team: string, want: Usage, spare: Usage): void {
    const label = `${part.id}|${team}`;
    if (this.ceding.has(label) || part.phase !== "serving" || to === part.id) return;
    const finite = (x: number): number => (Number.isFinite(x) ? Math.max(0, x) : 0);
    const give = { cpus: Math.min(finite(want.cpus), finite(spare.cpus)), gpus: Math.min(finite(want.gpus), finite(spare.gpus)) };
    if (give.cpus <= 0 && give.gpus <= 0) return;
    const key = keys.allotment(team);
    this.ceding.set(label, give);
    const term = part.term;
    const before = this.mirror.stamp(key);
    const draft = () => {
      const entry = this.mirror.get<AllotmentRecord>(key);
      if (entry === undefined || entry.stamp !== before || this.mirror.stamp(keys.owner(part.id)) !== term) return null;
      const move = (list: (number | null)[], amount: number): (number | null)[] =>
        list.map((x, i) => (x === null ? null : i === part.id ? x - amount : i === to ? x + amount : x));
      return {
        conditions: [
          { k: key, stamp: entry.stamp },
          { k: keys.owner(part.id), stamp: term },
        ],
        apply: [{ write: key, v: { cpus: move(entry.v.cpus, give.cpus), gpus: move(entry.v.gpus, give.gpus) } }],
      };
    };
    void this.committer.commit("cede", draft).then((outcome) => {
      this.ceding.delete(label);
      if (outcome === "done") this.scope.log.info({ part: part.id, to, team, ...give }, "quota transferred");
    });
  }
}
