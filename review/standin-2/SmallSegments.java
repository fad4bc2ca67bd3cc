import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.nio.channels.SocketChannel;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Sets the maximum segment size of a client's socket to that of an ordinary network. The loopback
 * interface has segments of 64 KB, with which the kernel of the sender takes megabytes for a client
 * that does not read; over a network it takes some ten kilobytes.
 */
final class SmallSegments {

  private static final int IPPROTO_TCP = 6;
  private static final int TCP_MAXSEG = 2;

  private SmallSegments() {}

  static void set(SocketChannel channel, int bytes) throws Throwable {
    Method descriptor = channel.getClass().getMethod("getFDVal");
    descriptor.setAccessible(true);
    MethodHandle setsockopt =
        CLinker.getInstance()
            .downcallHandle(
                CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
                MethodType.methodType(
                    int.class, int.class, int.class, int.class, MemoryAddress.class, int.class),
                FunctionDescriptor.of(
                    CLinker.C_INT, CLinker.C_INT, CLinker.C_INT, CLinker.C_INT,
                    CLinker.C_POINTER, CLinker.C_INT));
    try (ResourceScope scope = ResourceScope.newConfinedScope()) {
      MemorySegment value = MemorySegment.allocateNative(4, 4, scope);
      MemoryAccess.setInt(value, bytes);
      int result =
          (int) setsockopt.invokeExact(
              (int) descriptor.invoke(channel), IPPROTO_TCP, TCP_MAXSEG, value.address(), 4);
      if (result != 0) {
        throw new IllegalStateException("setsockopt has failed");
      }
    }
  }
}
