package wickdrift.coordination;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import wickdrift.bookkeeping.AwaitsOverflow;
import wickdrift.bookkeeping.Job;
import wickdrift.bookkeeping.StateServiceClient;
import wickdrift.bookkeeping.StateServiceLimits;
import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.Transaction;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.BadMessage;
import wickdrift.protocol.Document;
import wickdrift.protocol.EncodedValue;
import wickdrift.protocol.JobSpec;
import wickdrift.protocol.JsonSize;
import wickdrift.protocol.MessageCodec;
import wickdrift.transport.Exchange;
import wickdrift.transport.Timers;

/**
 * Accepts jobs. Submissions wait in a fair queue and are written in batches; each is answered once
 * its record is durable.
 */
final class Submissions {
  private static final int MAX_QUEUED_SUBMISSIONS = 300;
  private static final long SUBMISSION_TIMEOUT_MS = 3000;

  /**
   * Upper bound of the Retry-After header. Users retry for a minute, so each wait must be a small
   * part of that.
   */
  private static final int MAX_RETRY_AFTER_S = 8;

  /** Time after which an unanswered batch no longer blocks the next one. */
  private static final long MAX_BATCH_BLOCKING_MS = 250;

  private static final int MAX_BATCHES_IN_FLIGHT = 4;

  /** The protocol's limit of a request, which it measures as JSON. */
  private static final int MAX_SUBMISSION_BYTES = 64 * 1024;

  /** Bytes of a job's record other than the submitted specification. */
  private static final int RECORD_OVERHEAD_BYTES = 160;

  /** Bytes of a job in a transaction other than its specification: conditions, key and record. */
  private static final int JOB_TRANSACTION_OVERHEAD_BYTES = RECORD_OVERHEAD_BYTES + 256;

  private final Timers timers;
  private final StateServiceClient stateService;
  private final Tables tables;
  private final JobRouter router;
  private final DependencyValidator dependencyValidator;
  private final JobStatus status;
  private final BooleanSupplier ready;
  private final AdmissionQueue<Submission> queue = new AdmissionQueue<>(MAX_QUEUED_SUBMISSIONS);
  private BooleanSupplier stopCondition = () -> false;

  /** Whether the next batch waits, for more submissions or for the batch in flight. */
  private boolean nextBatchBlocked;

  /** Halved when a batch is rejected for its size, and doubled when one is accepted. */
  private int maxJobsPerBatch = MAX_QUEUED_SUBMISSIONS;

  private int batchesInFlight;
  private long newestBatchNumber;

  private final DependencyValidator.Callback dependencyCallback =
      new DependencyValidator.Callback() {
        @Override
        public void onValid(Submission submission) {
          enqueue(submission);
        }

        @Override
        public void onInvalid(Submission submission, String reason) {
          reject(submission, 422, reason);
        }
      };

  /**
   * Creates the service with an empty queue.
   *
   * @param ready whether requests can be served at all
   */
  Submissions(
      Timers timers,
      StateServiceClient stateService,
      Tables tables,
      JobRouter router,
      DependencyValidator dependencyValidator,
      JobStatus status,
      BooleanSupplier ready) {
    this.timers = timers;
    this.stateService = stateService;
    this.tables = tables;
    this.router = router;
    this.dependencyValidator = dependencyValidator;
    this.status = status;
    this.ready = ready;
  }

  /** Sets the condition under which new submissions are no longer accepted. */
  void stopAcceptingWhen(BooleanSupplier condition) {
    stopCondition = condition;
  }

  /** Returns whether no queued or written submission waits for its reply. */
  boolean isIdle() {
    return !nextBatchBlocked && batchesInFlight == 0 && queue.isEmpty();
  }

  /** Handles a submission; the reply follows once its outcome is known. */
  void submit(Exchange exchange) {
    JobSpec spec;
    String missingField;
    try {
      Document document = Document.of(parseBody(exchange));
      spec = JobSpec.parse(document);
      missingField = JobSpec.missingField(document);
    } catch (BadMessage e) {
      UserRequests.replyMalformed(exchange, e);
      return;
    }
    if (tables.job(spec.id()) != null || tables.terminalState(spec.id()) != null) {
      status.replyStatus(exchange, spec.id());
      return;
    }
    if (!ready.getAsBoolean() || !stateService.isReachable() || stopCondition.getAsBoolean()) {
      UserRequests.replyTryAgain(exchange);
      return;
    }
    Submission submission = new Submission(exchange, spec, timers.nowMs());
    if (missingField != null) {
      // An earlier build may have accepted the job without the field; reject() checks for that.
      reject(submission, 400, missingField + " is missing");
    } else if (spec.awaits().isEmpty()) {
      enqueue(submission);
    } else if (!tables.isOpen(Gate.AWAITS)) {
      // An older build would ignore the dependencies in the record and run the job too early.
      UserRequests.replyTryAgain(exchange);
    } else {
      dependencyValidator.validate(submission, dependencyCallback);
    }
  }

  private static EncodedValue parseBody(Exchange exchange) throws BadMessage {
    EncodedValue body = EncodedValue.of(exchange.body());
    if (JsonSize.lowerBound(body) > MAX_SUBMISSION_BYTES) {
      throw new BadMessage("the request is larger than 64 KiB as JSON");
    }
    return body;
  }

  /**
   * Returns the Retry-After time of a rejected submission: the time in which half of the queue is
   * written at the rate reserved for users, so that the queue does not run empty before the retry.
   */
  private int retryAfterS() {
    double seconds = queue.size() / 2.0 / Math.max(1, stateService.guaranteedUserWriteRate());
    return (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, Math.round(seconds)));
  }

  private void replyTooManySubmissions(Exchange exchange) {
    exchange.reply(429, Map.of("error", "too many submissions"), retryAfterS());
  }

  private void enqueue(Submission submission) {
    Submission evicted = queue.offer(submission.spec(), submission);
    if (evicted != null) {
      replyTooManySubmissions(evicted.exchange());
    }
    scheduleBatch();
  }

  /** Returns whether a job's record is too small for the names of all jobs that it awaits. */
  private boolean needsOverflowRecords(JobSpec spec) {
    int maxBytes = stateService.limits().targetValueBytes() - RECORD_OVERHEAD_BYTES;
    return !spec.awaits().isEmpty() && MessageCodec.jsonSize(spec.toStore()) > maxBytes;
  }

  /**
   * Writes the awaited names that don't fit into a job's record to overflow records, before the job
   * is accepted. Each transaction is conditional on the job's absence, and a retry writes the same
   * records.
   */
  private void writeOverflow(Submission submission, AwaitsOverflow overflow) {
    List<Map.Entry<String, Object>> remaining =
        new ArrayList<>(
            overflow
                .values(submission.spec().awaits(), stateService.limits().targetValueBytes())
                .entrySet());
    // Their keys tell their content, so what an earlier try has written is not written again.
    remaining.removeIf(overflowRecord -> tables.hasOverflowRecord(overflowRecord.getKey()));
    writeOverflow(submission, overflow, remaining);
  }

  private void writeOverflow(
      Submission submission, AwaitsOverflow overflow, List<Map.Entry<String, Object>> remaining) {
    if (remaining.isEmpty()) {
      commitWithOverflow(submission, overflow);
      return;
    }
    String jobId = submission.spec().id();
    Transaction transaction =
        new Transaction()
            .requireStamp(Job.key(jobId), 0)
            .requireStamp(Job.terminalStateKey(jobId), 0);
    int count = addOverflowRecords(transaction, remaining);
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.USER,
        result -> {
          if (result.outcome() == StateServiceClient.Outcome.OK) {
            writeOverflow(submission, overflow, remaining.subList(count, remaining.size()));
          } else if (result.outcome() == StateServiceClient.Outcome.REFUSED
              && stateService.isReachable()
              && timers.nowMs() - submission.receivedMs() < SUBMISSION_TIMEOUT_MS) {
            timers.after(
                UserRequests.RETRY_DELAY_MS, () -> writeOverflow(submission, overflow, remaining));
          } else if (result.outcome() == StateServiceClient.Outcome.CONDITION_FAILED) {
            nextBatchBlocked = false;
            status.replyStatus(submission.exchange(), jobId);
            scheduleBatch();
          } else {
            nextBatchBlocked = false;
            UserRequests.replyTryAgain(submission.exchange());
            scheduleBatch();
          }
        });
  }

  /** Adds as many overflow records as fit into the transaction, and returns their number. */
  private int addOverflowRecords(
      Transaction transaction, List<Map.Entry<String, Object>> remaining) {
    StateServiceLimits limits = stateService.limits();
    int maxRecords = Math.min(remaining.size(), limits.maxTransactionChanges() / 2);
    int count = 0;
    while (count < maxRecords) {
      Map.Entry<String, Object> overflowRecord = remaining.get(count);
      transaction.write(overflowRecord.getKey(), overflowRecord.getValue());
      if (count > 0 && transaction.requestBytes() > limits.targetTransactionBytes()) {
        transaction.remove(overflowRecord.getKey());
        return count;
      }
      count++;
    }
    return count;
  }

  /** Commits a single job whose overflow records are written. */
  private void commitWithOverflow(Submission submission, AwaitsOverflow overflow) {
    Transaction transaction = new Transaction();
    addToTransaction(transaction, submission.spec(), overflow, new QueuedDemand());
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.USER,
        result -> {
          nextBatchBlocked = false;
          handleBatchResult(
              result, Map.of(submission.spec().id(), new ArrayList<>(List.of(submission))));
        });
  }

  private void addToTransaction(
      Transaction transaction, JobSpec spec, AwaitsOverflow overflow, QueuedDemand batchDemand) {
    String jobId = spec.id();
    transaction.requireStamp(Job.key(jobId), 0).requireStamp(Job.terminalStateKey(jobId), 0);
    String partition = router.route(spec, batchDemand);
    batchDemand.add(spec, partition);
    transaction.write(Job.key(jobId), Job.toStore(spec, overflow, timers.wallMs(), partition, 0));
  }

  private void scheduleBatch() {
    if (nextBatchBlocked || queue.isEmpty()) {
      return;
    }
    nextBatchBlocked = true;
    // Submissions that arrive together are accepted in one transaction.
    timers.after(2, this::commitBatch);
  }

  private void commitBatch() {
    Map<String, List<Submission>> batch = new LinkedHashMap<>();
    QueuedDemand batchDemand = new QueuedDemand();
    Transaction transaction = new Transaction();
    int maxBatchSize = Math.min(maxJobsPerBatch, stateService.limits().maxTransactionChanges());
    while (!queue.isEmpty() && batch.size() < maxBatchSize) {
      Submission submission = queue.poll();
      String jobId = submission.spec().id();
      if (timers.nowMs() - submission.receivedMs() > SUBMISSION_TIMEOUT_MS) {
        submission.exchange().reply(503, Map.of("error", "try again"), retryAfterS());
        continue;
      }
      if (tables.job(jobId) != null || tables.terminalState(jobId) != null) {
        status.replyStatus(submission.exchange(), jobId);
        continue;
      }
      if (needsOverflowRecords(submission.spec())
          && router.rejectionReason(submission.spec()) == null) {
        if (!batch.isEmpty()) {
          queue.returnToFront(submission.spec(), submission);
          break;
        }
        // Such a job is written alone and in several steps; the next batch waits for it.
        writeOverflow(
            submission,
            AwaitsOverflow.of(
                jobId, submission.spec().awaits(), stateService.limits().targetValueBytes()));
        return;
      }
      if (!batch.containsKey(jobId)) {
        if (!batch.isEmpty() && !fitsInBatch(transaction, submission.spec())) {
          queue.returnToFront(submission.spec(), submission);
          break;
        }
        addToTransaction(transaction, submission.spec(), null, batchDemand);
      }
      batch.computeIfAbsent(jobId, k -> new ArrayList<>()).add(submission);
    }
    // A job that can never run is rejected only if it was not accepted before; reject() checks it.
    batch
        .entrySet()
        .removeIf(
            entry -> {
              String reason = router.rejectionReason(entry.getValue().get(0).spec());
              if (reason == null) {
                return false;
              }
              transaction.remove(Job.key(entry.getKey()));
              transaction.remove(Job.terminalStateKey(entry.getKey()));
              entry.getValue().forEach(submission -> reject(submission, 422, reason));
              return true;
            });
    if (batch.isEmpty()) {
      nextBatchBlocked = false;
      scheduleBatch();
      return;
    }
    batchesInFlight++;
    long batchNumber = ++newestBatchNumber;
    stateService.commit(
        transaction,
        StateServiceClient.WritePriority.USER,
        result -> {
          batchesInFlight--;
          // Only the newest batch blocks the next one.
          nextBatchBlocked &= batchNumber != newestBatchNumber;
          handleBatchResult(result, batch);
        });
    timers.after(MAX_BATCH_BLOCKING_MS, () -> unblockNextBatch(batchNumber));
  }

  private boolean fitsInBatch(Transaction transaction, JobSpec spec) {
    int recordBytes = MessageCodec.jsonSize(spec.toStore()) + JOB_TRANSACTION_OVERHEAD_BYTES;
    return transaction.requestBytes() + recordBytes
        <= stateService.limits().targetTransactionBytes();
  }

  /** Unblocks the next batch if the answer to the given one is late or lost. */
  private void unblockNextBatch(long batchNumber) {
    if (nextBatchBlocked
        && batchNumber == newestBatchNumber
        && batchesInFlight > 0
        && batchesInFlight < MAX_BATCHES_IN_FLIGHT) {
      nextBatchBlocked = false;
      scheduleBatch();
    }
  }

  private void reject(Submission submission, int statusCode, String reason) {
    stateService.barrier(
        UserRequests.BARRIER_TIMEOUT_MS,
        ok -> {
          if (!ok) {
            UserRequests.replyTryAgain(submission.exchange());
          } else if (tables.job(submission.spec().id()) != null
              || tables.terminalState(submission.spec().id()) != null) {
            status.replyFromTables(submission.exchange(), submission.spec().id());
          } else {
            stateService.read(
                Job.terminalStateKey(submission.spec().id()),
                read -> {
                  if (!read.ok()) {
                    UserRequests.replyTryAgain(submission.exchange());
                  } else if (read.value() != null) {
                    status.replyTerminalState(
                        submission.exchange(), submission.spec().id(), read.value());
                  } else {
                    submission.exchange().reply(statusCode, Map.of("error", reason));
                  }
                });
          }
        });
  }

  private void handleBatchResult(
      StateServiceClient.CommitResult result, Map<String, List<Submission>> batch) {
    switch (result.outcome()) {
      case OK -> {
        maxJobsPerBatch = Math.min(MAX_QUEUED_SUBMISSIONS, maxJobsPerBatch * 2);
        batch.forEach(
            (jobId, submissions) ->
                submissions.forEach(
                    submission ->
                        submission
                            .exchange()
                            .reply(201, Map.of("ref", jobId, "phase", "pending"))));
      }
      case REJECTED -> {
        // The same batch would be rejected again. A single job's record does not fit at all; its
        // user tries again later, and the others do not wait for it.
        maxJobsPerBatch = Math.max(1, batch.size() / 2);
        if (batch.size() > 1) {
          requeue(batch);
        } else {
          replyTryAgain(batch);
        }
      }
      case CONDITION_FAILED ->
          batch.forEach(
              (jobId, submissions) -> {
                boolean known =
                    result.failedKeys().contains(Job.key(jobId))
                        || result.failedKeys().contains(Job.terminalStateKey(jobId));
                for (Submission submission : submissions) {
                  if (known) {
                    status.replyStatus(submission.exchange(), jobId);
                  } else {
                    queue.returnToFront(submission.spec(), submission);
                  }
                }
              });
      case REFUSED -> {
        if (stateService.isReachable()) {
          requeue(batch);
          nextBatchBlocked = true;
          timers.after(
              UserRequests.RETRY_DELAY_MS,
              () -> {
                nextBatchBlocked = false;
                scheduleBatch();
              });
          return;
        }
        replyTryAgain(batch);
      }
      // The batch is sent again. If both transactions are applied, only one finds the job's record
      // absent; a submission whose record exists is answered from it.
      case UNKNOWN -> {
        if (stateService.isReachable()) {
          requeue(batch);
        } else {
          replyTryAgain(batch);
        }
      }
      default -> throw new AssertionError(result.outcome());
    }
    scheduleBatch();
  }

  private static void replyTryAgain(Map<String, List<Submission>> batch) {
    batch
        .values()
        .forEach(
            submissions ->
                submissions.forEach(
                    submission -> UserRequests.replyTryAgain(submission.exchange())));
  }

  /**
   * Returns submissions to the front of the queue in their order, so that the oldest don't time out
   * behind later ones.
   */
  private void requeue(Map<String, List<Submission>> batch) {
    List<Submission> submissions = new ArrayList<>();
    batch.values().forEach(submissions::addAll);
    Collections.reverse(submissions);
    submissions.forEach(submission -> queue.returnToFront(submission.spec(), submission));
  }
}
