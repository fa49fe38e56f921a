package wickdrift.coordination.commands;

/**
 * One attempt of a task, as workers name it.
 *
 * @param task the task's name, {@code job/index}
 */
public record TaskAttempt(String task, int attempt) {
  /** Whether it is an attempt of a task of that job. */
  public boolean belongsToJob(String job) {
    return task.length() > job.length() && task.charAt(job.length()) == '/' && task.startsWith(job);
  }
}
