package wickdrift.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * The buffers of all connections. They are on the heap: an allocation of direct memory that is
 * refused puts the event loop to sleep before it fails.
 */
final class HeapBuffers {
  /** The allocator of buffers for messages. */
  static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false);

  /** Netty receives into direct memory by default, whatever the allocator prefers. */
  static final RecvByteBufAllocator RECEIVE_ALLOCATOR = new HeapReceiveAllocator();

  private HeapBuffers() {}

  /** Netty's interface requires the deprecated handle. */
  @SuppressWarnings("deprecation")
  private static final class HeapReceiveAllocator implements RecvByteBufAllocator {
    private final RecvByteBufAllocator sizes = new AdaptiveRecvByteBufAllocator();

    @Override
    public Handle newHandle() {
      return new DelegatingHandle(sizes.newHandle()) {
        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
          return allocator.heapBuffer(guess());
        }
      };
    }
  }
}
