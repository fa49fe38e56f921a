/**
 * What the exchange of frames between controllers has in common: who sends, who is meant, and
 * whether a received frame is one of the processes that run now.
 */
package wickdrift.coordination.peers;
