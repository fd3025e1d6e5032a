/** The cloud and the workers of a case, as the users' protocol page describes them; each worker listens on a port of its own. */
import http from "node:http";
import { request } from "./cluster.mjs";

const json = (res, status, body) => {
  const text = JSON.stringify(body);
  res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
  res.end(text);
};

function readJson(req) {
  return new Promise((resolve) => {
    const chunks = [];
    req.on("data", (chunk) => chunks.push(chunk));
    req.on("end", () => {
      try {
        resolve(JSON.parse(Buffer.concat(chunks).toString("utf8")));
      } catch {
        resolve(null);
      }
    });
  });
}

/** Largest body of a request, by the protocol page. */
const MAX_BODY_BYTES = 64 * 1024;

const key = (piece, attempt) => `${piece}#${attempt}`;

/** One machine's worker. */
class Worker {
  constructor(platform, host, type, hired) {
    Object.assign(this, { platform, host, type, hired });
    this.session = 1;
    this.tick = 0;
    this.token = 0;
    this.tasks = new Map();
    this.leaseFrom = Date.now();
    this.target = 0;
    this.gone = false;
    this.hanging = false;
    this.wake = () => undefined;
  }

  async start() {
    this.server = http.createServer((req, res) => void this.serve(req, res));
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    this.addr = `127.0.0.1:${this.server.address().port}`;
    this.leaseFrom = Date.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 50);
    void this.reportLoop();
  }

  snapshot() {
    return {
      ...{ host: this.host, addr: this.addr, build: this.type.label, yard: this.platform.site.zone, loaner: this.hired.loaner },
      ...{ shift: this.session, tick: ++this.tick, baton: this.token, warningS: null },
      pieces: [...this.tasks.values()].map(({ piece, attempt, status, cause }) => ({
        ...{ piece, try: attempt, status },
        ...(cause === undefined ? {} : { cause }),
      })),
    };
  }

  checkLease() {
    if (this.gone || this.hanging || Date.now() - this.leaseFrom <= this.platform.site.workers.lease_s * 1000) return;
    this.platform.note(`worker ${this.host}: lease over, session ${this.session} ends with ${this.tasks.size} tasks`);
    this.platform.leasesOver++;
    for (const task of this.tasks.values()) this.end(task, "killed");
    this.tasks.clear();
    this.session++;
    this.leaseFrom = Date.now();
    this.wake();
  }

  async reportLoop() {
    const { report_s } = this.platform.site.workers;
    while (!this.gone) {
      const sentAt = Date.now();
      const session = this.session;
      const name = this.platform.names[this.target];
      const answer = this.hanging ? null : await this.report(name);
      let pauseMs = 1000;
      if (answer?.status === 200) {
        pauseMs = report_s * 1000 * (0.75 + Math.random() / 2);
        if (session === this.session && answer.body.baton !== undefined && answer.body.baton >= this.token) {
          this.token = answer.body.baton;
          this.leaseFrom = sentAt;
          this.execute(answer.body.orders ?? []);
        }
      } else {
        const boss = answer?.status === 421 ? this.platform.names.indexOf(answer.body.boss) : -1;
        if (boss >= 0 && boss !== this.target) {
          this.target = boss;
          pauseMs = 100;
        } else this.target = (this.target + 1) % this.platform.names.length;
      }
      const changed = new Promise((resolve) => (this.wake = resolve));
      if (answer?.status !== 200) await new Promise((resolve) => setTimeout(resolve, pauseMs));
      else {
        await new Promise((resolve) => setTimeout(resolve, 500));
        await Promise.race([changed, new Promise((resolve) => setTimeout(resolve, Math.max(0, pauseMs - 500)))]);
      }
    }
  }

  /** Sends a report; null if there is no answer. A body above the protocol's limit may not be sent, so there is none to it either. */
  async report(name) {
    const body = JSON.stringify(this.snapshot());
    if (body.length > MAX_BODY_BYTES) {
      this.platform.note(`worker ${this.host}: its report would have ${body.length} bytes and can't be sent`);
      return null;
    }
    return request(this.platform.frontOf(name), "POST", "/v1/report", body, 4000);
  }

  execute(orders) {
    for (const order of orders) {
      const id = key(order.piece, order.try);
      const task = this.tasks.get(id);
      if (order.verb === "start" && task === undefined) this.startTask(order.piece, order.try);
      else if (order.verb === "stop" && task !== undefined && task.status !== "exited") this.end(task, "stopped");
      else if (order.verb === "clear" && task?.status === "exited") this.tasks.delete(id);
    }
  }

  startTask(piece, attempt) {
    const ref = piece.slice(0, piece.lastIndexOf("/"));
    const job = this.platform.jobs.get(ref);
    const task = { piece, attempt, ref, job, status: "fetching", worker: this };
    this.tasks.set(key(piece, attempt), task);
    const live = [...this.tasks.values()].filter((one) => one !== task && one.status !== "exited");
    const sum = (field) => live.reduce((n, one) => n + one.job[field], 0);
    const full = job !== undefined && (sum("cpus") + job.cpus > this.type.cpus || sum("accelerators") + job.accelerators > this.type.accelerators || sum("ramGb") + job.ramGb > this.type.ramGb); // prettier-ignore
    if (job === undefined) return this.end(task, "no_such");
    if (live.some((one) => one.piece === piece)) return this.end(task, "busy");
    if (full) return this.end(task, "no_room");
    task.timer = setTimeout(() => this.imageReady(task), this.platform.fetchMs);
    this.wake();
  }

  imageReady(task) {
    task.status = task.job.shape === "gang" ? "gathering" : "running";
    task.on = true;
    this.platform.event("on", task);
    if (task.job.shape === "gang") {
      const { gang_wait_s } = this.platform.site.workers;
      task.timer = setTimeout(() => this.end(task, "alone"), gang_wait_s * 1000);
      this.platform.gather(task);
    } else this.run(task);
    this.wake();
  }

  run(task) {
    clearTimeout(task.timer);
    task.status = "running";
    if (task.job.shape !== "daemon") task.timer = setTimeout(() => this.end(task, "done"), this.platform.runMs(task));
    this.wake();
    // A faulty machine fails every task that it starts.
    if (this.platform.isFaulty(this.host)) setTimeout(() => this.end(task, "error"), 300);
  }

  end(task, cause) {
    clearTimeout(task.timer);
    if (task.status === "exited") return;
    const started = task.status === "running";
    task.status = "exited";
    task.cause = cause;
    if (task.on) this.platform.event(`off (${cause})`, task);
    if (task.job?.shape === "gang" && started) this.platform.gangEnded(task, cause);
    this.wake();
  }

  async serve(req, res) {
    const body = await readJson(req);
    if (this.hanging || this.gone) return;
    if (req.method === "GET" && req.url === "/show") return json(res, 200, this.snapshot());
    if (body === null || body.baton === undefined || body.shift === undefined) return json(res, 400, {});
    if (body.baton < this.token || body.shift !== this.session) return json(res, 409, this.snapshot());
    this.token = body.baton;
    this.execute(body.orders ?? []);
    json(res, 200, this.snapshot());
  }

  remove() {
    this.gone = true;
    clearInterval(this.leaseTimer);
    for (const task of this.tasks.values()) this.end(task, "machine gone");
    this.tasks.clear();
    this.server?.close();
    this.server?.closeAllConnections();
  }
}

/** The cloud with its machines. */
export class Platform {
  constructor(cluster) {
    this.cluster = cluster;
    this.site = cluster.site;
    this.names = cluster.names;
    this.jobs = new Map();
    this.machines = new Map();
    this.hires = new Map();
    this.events = [];
    this.fetchMs = 200;
    /** A machine is up after this multiple of its type's boot time; the protocol page gives 0.6 to 1.5. */
    this.bootFactor = 0.6;
    this.runMs = (task) => (task.job.guessS || 5) * 1000;
    this.seen = 0;
    /** Types of which the cloud has no machine to rent at present. */
    this.soldOut = new Set();
    this.leasesOver = 0;
    this.isFaulty = () => false;
  }

  frontOf(name) {
    return this.cluster.fronts.get(name);
  }

  note(text) {
    this.cluster.note(text);
  }

  event(what, task) {
    this.events.push({ at: Date.now(), what, piece: task.piece, ref: task.ref, attempt: task.attempt, host: task.worker.host });
    this.note(`${what}: ${task.piece} attempt ${task.attempt} on ${task.worker.host}`);
  }

  /** Tasks that are on a machine now. */
  onMachines() {
    return [...this.machines.values()].flatMap(({ worker }) =>
      worker === undefined ? [] : [...worker.tasks.values()].filter((task) => task.on && task.status !== "exited"),
    );
  }

  gather(task) {
    const members = this.onMachines().filter((one) => one.ref === task.ref && one.attempt === task.attempt);
    if (members.length === task.job.pieces) for (const member of members) member.worker.run(member);
  }

  gangEnded(task, cause) {
    const mates = this.onMachines().filter((one) => one.ref === task.ref && one.attempt === task.attempt && one.status === "running");
    for (const mate of mates) {
      if (cause === "done") mate.worker.end(mate, "done");
      else setTimeout(() => mate.worker.end(mate, "mates_gone"), this.site.workers.gang_peer_s * 1000);
    }
  }

  async start() {
    this.server = http.createServer((req, res) => void this.serve(req, res));
    await new Promise((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  async serve(req, res) {
    const url = new URL(req.url, "http://cloud");
    const body = req.method === "POST" ? await readJson(req) : null;
    if (url.pathname === "/machine_types") return json(res, 200, { builds: this.site.builds });
    if (url.pathname === "/hosts/delete") {
      for (const host of body.hosts) {
        if (this.machines.has(host)) this.note(`cloud: ${host} deleted`);
        this.machines.get(host)?.worker.remove();
        clearTimeout(this.machines.get(host)?.timer);
        this.machines.delete(host);
      }
      return json(res, 200, {});
    }
    if (req.method === "POST") return this.hire(res, body);
    const from = url.searchParams.get("from") ?? "";
    const limit = Number(url.searchParams.get("limit") ?? 500);
    const listed = [...this.machines.values()].filter(({ ref }) => ref > from);
    json(res, 200, {
      hosts: listed.slice(0, limit).map((one) => ({
        ...{ ref: one.ref, addr: one.worker.addr ?? "127.0.0.1:9", build: one.build, yard: one.yard, loaner: one.loaner },
        ...{ status: one.status, ageS: (Date.now() - one.at) / 1000 },
      })),
      truncated: listed.length > limit,
    });
  }

  /** Takes a machine back; from then on no machine of its type can be rented. */
  takeBack(ref) {
    const { worker, build, loaner } = this.machines.get(ref);
    this.soldOut.add(build);
    this.note(`cloud: ${ref} (${build}, ${loaner ? "spot" : "ordinary"}) is taken back`);
    this.machines.delete(ref);
    worker.remove();
  }

  hire(res, { hire, build, yard, loaner, count }) {
    const known = this.hires.get(hire);
    if (known !== undefined) return json(res, 200, { hosts: known });
    const type = this.site.builds.find(({ label }) => label === build);
    const used = [...this.machines.values()].filter((one) => one.build === build && one.loaner === loaner).length;
    if (this.soldOut.has(build)) return json(res, 503, { error: "no capacity" });
    const free = Math.min(count, (loaner ? type.spotCount : type.count) - used);
    if (free <= 0) return json(res, 503, { error: "no capacity" });
    const hosts = Array.from({ length: free }, () => `i-${String(++this.seen).padStart(6, "0")}`);
    this.hires.set(hire, hosts);
    this.note(`cloud: ${hire} rents ${hosts.join(" ")} (${build}, ${loaner ? "spot" : "ordinary"})`);
    for (const ref of hosts) {
      const machine = { ref, build, yard, loaner, status: "booting", at: Date.now(), worker: new Worker(this, ref, type, { loaner }) };
      this.machines.set(ref, machine);
      machine.timer = setTimeout(
        () => {
          machine.status = "running";
          void machine.worker.start();
        },
        type.bootS * this.bootFactor * 1000,
      );
    }
    json(res, 200, { hosts });
  }

  close() {
    for (const { worker, timer } of this.machines.values()) {
      clearTimeout(timer);
      worker.remove();
    }
    this.server?.close();
    this.server?.closeAllConnections();
  }
}
