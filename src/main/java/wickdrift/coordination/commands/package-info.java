/**
 * What a worker may still do because of commands that were sent to it.
 *
 * <p>{@link wickdrift.coordination.commands.WorkerCommands} is the one place that decides whether a
 * command may still arrive, and with that whether an attempt may be cleared, ended or counted as
 * harmless. It is pure: time, reports and answers are handed to it. {@link
 * wickdrift.coordination.commands.SafetyMonitor} checks the same invariants once more, at run time,
 * on what is about to be sent or recorded.
 */
package wickdrift.coordination.commands;
