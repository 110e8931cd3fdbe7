import { Data } from 'effect';

/** A failure, with the step and the cohort member at which it arose. */
export class Fault extends Data.TaggedError('Fault')<{
  readonly step: string;
  readonly reason: string;
  readonly cohortMember?: string;
  /** True when the asked work may have been done all the same. */
  readonly unknown?: boolean;
}> {
  override get message(): string {
    return `${this.step}${this.cohortMember ? ` at ${this.cohortMember}` : ''}: ${this.reason}`;
  }
}
