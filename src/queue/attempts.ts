/** The data of an attempt that `AttemptRegistry` needs: its job, and its task number within its task set. */
export interface Attempt {
  taskSet: { spec: { ref: string }; lo: number };
  task: number;
}

/** Number of the attempt's task within its job. */
export function taskNumber({ taskSet, task }: Attempt): number {
  return taskSet.lo + task;
}

/**
 * Registry of every attempt that may exist on a machine of one partition, from its start order until it is proven gone.
 * It includes attempts adopted from reports, superseded attempts and attempts of unknown jobs. It is the only basis for
 * deciding whether a task may start: a task set records only its current attempts, and a machine only the attempts on
 * itself. It is updated as attempts come and go on machines, each time at constant cost.
 */
export class AttemptRegistry<A extends Attempt> {
  /** Attempts by job reference, then by task number. */
  private readonly jobs = new Map<string, Map<number, A[]>>();

  add(attempt: A): void {
    const { ref } = attempt.taskSet.spec;
    let job = this.jobs.get(ref);
    if (job === undefined) this.jobs.set(ref, (job = new Map()));
    const number = taskNumber(attempt);
    const known = job.get(number);
    if (known === undefined) job.set(number, [attempt]);
    else known.push(attempt);
  }

  remove(attempt: A): void {
    const { ref } = attempt.taskSet.spec;
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

  /** True if an attempt of the task may be on some machine. */
  hasTask(ref: string, number: number): boolean {
    return this.jobs.get(ref)?.has(number) === true;
  }

  /** True if an attempt of any task of the job may be on some machine. */
  hasJob(ref: string): boolean {
    return this.jobs.has(ref);
  }

  /** Numbers of the job's tasks of which an attempt may be on some machine. */
  tasksOf(ref: string): Iterable<number> {
    return this.jobs.get(ref)?.keys() ?? [];
  }

  /** Other attempts of the same task; the task must not start while there is one. */
  otherAttempts(attempt: A): readonly A[] {
    const all = this.ofTask(attempt.taskSet.spec.ref, taskNumber(attempt));
    return all.length === 1 && all[0] === attempt ? NONE : all.filter((other) => other !== attempt);
  }
}

const NONE: readonly never[] = [];
