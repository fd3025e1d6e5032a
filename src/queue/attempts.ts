/** What the registry has to know of an attempt: its job, and its task as counted from the beginning of its unit. */
export interface Attempt {
  unit: { spec: { ref: string }; lo: number };
  task: number;
}

/** The number of the attempt's task within its job. */
export function taskNumber({ unit, task }: Attempt): number {
  return unit.lo + task;
}

/**
 * Every attempt that may exist on a machine of one partition, from its start order until it is proven gone: placed by
 * the scheduling cycle or adopted from a report, wanted or not, of a job that is known here or not. It alone answers
 * whether a task may start: a unit knows only the placement that it wants, and a machine only what is on itself.
 * Kept up as attempts come and go on machines, each time at constant cost.
 */
export class AttemptRegistry<A extends Attempt> {
  /** By job, then by the number of the task. */
  private readonly jobs = new Map<string, Map<number, A[]>>();

  add(attempt: A): void {
    const { ref } = attempt.unit.spec;
    let job = this.jobs.get(ref);
    if (job === undefined) this.jobs.set(ref, (job = new Map()));
    const number = taskNumber(attempt);
    const known = job.get(number);
    if (known === undefined) job.set(number, [attempt]);
    else known.push(attempt);
  }

  remove(attempt: A): void {
    const { ref } = attempt.unit.spec;
    const job = this.jobs.get(ref);
    const number = taskNumber(attempt);
    const left = job?.get(number)?.filter((other) => other !== attempt) ?? [];
    if (left.length > 0) job!.set(number, left);
    else if (job?.delete(number) === true && job.size === 0) this.jobs.delete(ref);
  }

  /** Attempts of one task that may be on some machine. */
  ofTask(ref: string, number: number): readonly A[] {
    return this.jobs.get(ref)?.get(number) ?? NONE;
  }

  /** May an attempt of the task be on some machine? */
  hasTask(ref: string, number: number): boolean {
    return this.jobs.get(ref)?.has(number) === true;
  }

  /** May an attempt of any task of the job be on some machine? */
  hasJob(ref: string): boolean {
    return this.jobs.has(ref);
  }

  /** Numbers of the job's tasks of which an attempt may be on some machine. */
  tasksOf(ref: string): Iterable<number> {
    return this.jobs.get(ref)?.keys() ?? [];
  }

  /** Other attempts of the same task: while there is one, it must not start. */
  others(attempt: A): readonly A[] {
    const all = this.ofTask(attempt.unit.spec.ref, taskNumber(attempt));
    return all.length === 1 && all[0] === attempt ? NONE : all.filter((other) => other !== attempt);
  }
}

const NONE: readonly never[] = [];
