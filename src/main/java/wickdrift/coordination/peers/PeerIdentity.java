package wickdrift.coordination.peers;

import wickdrift.bookkeeping.Tables;
import wickdrift.bookkeeping.View;
import wickdrift.bookkeeping.level.Gate;
import wickdrift.protocol.FrameHeader;

/**
 * Addresses the frames of this process to processes of the other controllers, and decides whether a
 * received frame is meant for this process. A frame may arrive late, after its sender or the
 * process for which it was meant has ended and a new one has started under the same name.
 */
public final class PeerIdentity {
  /** Separates the incarnation of a process from the number of its lease. */
  private static final char LEASE_SEPARATOR = '-';

  private static final String ANY_PROCESS = "";

  private final String node;
  private final String process;
  private final Tables tables;

  /**
   * Creates the identity of this process.
   *
   * @param node the name of this controller
   * @param process the incarnation of this process
   */
  public PeerIdentity(String node, String process, Tables tables) {
    this.node = node;
    this.process = process;
    this.tables = tables;
  }

  /** Returns the incarnation of this process. */
  public String process() {
    return process;
  }

  /**
   * Returns the header of a frame to the process of a peer that is a member of the view, or to any
   * process of the peer if it is no member; null if this node or the peer has no number yet.
   */
  public FrameHeader headerTo(String peer) {
    View view = tables.view();
    String incarnation = view == null ? null : view.members().get(peer);
    return headerTo(peer, incarnation == null ? ANY_PROCESS : processOf(incarnation));
  }

  /**
   * Returns the header of a frame to a process of a peer; null if this node or the peer has no
   * number yet.
   *
   * @param peerProcess the incarnation of the peer's process; empty: any process
   */
  public FrameHeader headerTo(String peer, String peerProcess) {
    int from = tables.registry().numberOf(node);
    int to = tables.registry().numberOf(peer);
    if (from < 0 || to < 0) {
      return null;
    }
    return tables.isOpen(Gate.PEER_PROCESSES)
        ? new FrameHeader(from, process, to, peerProcess)
        : new FrameHeader(from, "", to, "");
  }

  /**
   * Returns the header of the reply to a request, which goes to the very process that sent the
   * request, in the layout of the request; null if this node has no number yet.
   */
  public FrameHeader replyTo(FrameHeader request) {
    int from = tables.registry().numberOf(node);
    if (from < 0) {
      return null;
    }
    return request.isIdentified()
        ? new FrameHeader(from, process, request.from(), request.fromProcess())
        : FrameHeader.firstLayout(from);
  }

  /** Decides whether a received frame may be acted on. */
  public FrameVerdict judge(FrameHeader header) {
    if (!header.isIdentified()) {
      return tables.isOpen(Gate.PEER_PROCESSES)
          ? FrameVerdict.PROCESSES_NOT_NAMED
          : FrameVerdict.ACCEPTED;
    }
    int ownNumber = tables.registry().numberOf(node);
    if (header.to() != ownNumber) {
      return FrameVerdict.OTHER_RECEIVER;
    }
    if (header.from() == ownNumber) {
      return FrameVerdict.SENT_UNDER_OWN_NAME;
    }
    if (tables.registry().name(header.from()) == null) {
      return FrameVerdict.UNKNOWN_SENDER;
    }
    boolean forThisProcess =
        header.toProcess().equals(process) || header.toProcess().equals(ANY_PROCESS);
    return forThisProcess ? FrameVerdict.ACCEPTED : FrameVerdict.OTHER_PROCESS;
  }

  /** Decides whether a received request may be acted on and replied to. */
  public FrameVerdict judgeRequest(FrameHeader header, long requestId) {
    FrameVerdict verdict = judge(header);
    boolean isUnique = header.isIdentified() || RequestIds.isUnique(requestId);
    return verdict.isAccepted() && !isUnique ? FrameVerdict.REQUEST_NOT_UNIQUE : verdict;
  }

  /**
   * Whether a reply comes from the process that was asked. That the reply is meant for this process
   * is the decision of {@link #judge}.
   *
   * @param request the header of the request, as this process sent it
   */
  public static boolean isFromAskedProcess(FrameHeader request, FrameHeader reply) {
    boolean sameProcess =
        request.toProcess().equals(ANY_PROCESS) || request.toProcess().equals(reply.fromProcess());
    return reply.from() == request.to()
        && reply.isIdentified() == request.isIdentified()
        && sameProcess;
  }

  /**
   * Returns the incarnation of a process, which has a further part for each lease but the first.
   */
  public static String processOf(String incarnation) {
    int separator = incarnation.indexOf(LEASE_SEPARATOR);
    return separator < 0 ? incarnation : incarnation.substring(0, separator);
  }

  /** Returns the incarnation of a process under one of its leases, counted from one. */
  public static String underLease(String process, int leaseNumber) {
    return leaseNumber == 1 ? process : process + LEASE_SEPARATOR + leaseNumber;
  }
}
