package wickdrift.coordination;

import wickdrift.protocol.JobSpec;
import wickdrift.transport.Exchange;

/**
 * A submission that waits for its reply.
 *
 * @param receivedMs when it was received, by the local clock
 */
record Submission(Exchange exchange, JobSpec spec, long receivedMs) {}
