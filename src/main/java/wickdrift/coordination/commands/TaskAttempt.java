package wickdrift.coordination.commands;

/**
 * One attempt of a task, identified as in the worker protocol.
 *
 * @param task the task's name, {@code job/index}
 */
public record TaskAttempt(String task, long attempt) {
  /** Whether this is an attempt of a task of the given job. */
  public boolean belongsToJob(String job) {
    return task.length() > job.length() && task.charAt(job.length()) == '/' && task.startsWith(job);
  }
}
