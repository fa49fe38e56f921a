/**
 * Tracks what a worker may still do because of commands that were sent to it.
 *
 * <p>{@link wickdrift.coordination.commands.WorkerCommands} alone decides whether a command may
 * still arrive, and therefore whether an attempt may be cleared, ended or counted as harmless. It
 * does no input or output: time, reports and answers are passed in. {@link
 * wickdrift.coordination.commands.SafetyMonitor} checks the same invariants again at run time, on
 * commands about to be sent and ends about to be recorded.
 */
package wickdrift.coordination.commands;
