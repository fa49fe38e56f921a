package wickdrift.coordination;

import wickdrift.protocol.JobSpec;
import wickdrift.transport.Exchange;

/** A submission that waits for its answer. */
record Submission(Exchange exchange, JobSpec spec, long receivedMs) {}
