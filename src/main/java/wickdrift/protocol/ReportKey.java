package wickdrift.protocol;

/**
 * Identifies one report of a worker, except for a worker that has restarted and counts its sessions
 * from one again.
 *
 * @param tenure the number of the worker's session
 * @param tick the number of the report in its session
 */
public record ReportKey(String machine, long tenure, long tick) {}
