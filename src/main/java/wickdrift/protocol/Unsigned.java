package wickdrift.protocol;

import java.math.BigInteger;

/**
 * Functions on the protocol's counts, versions, tokens and attempts, which are integers below 2^64.
 * Such a number is held in a {@code long} whose bits are read as unsigned, so it must not be
 * compared or printed as a {@code long}. Zero, and the test for equality, need no function.
 */
public final class Unsigned {
  /** The largest number: 2^64 - 1. */
  public static final long MAX_VALUE = -1L;

  private Unsigned() {}

  /** Compares two numbers, in the manner of {@link java.util.Comparator}. */
  public static int compare(long a, long b) {
    return Long.compareUnsigned(a, b);
  }

  /** Returns whether the first number is larger than the second. */
  public static boolean isGreater(long a, long b) {
    return Long.compareUnsigned(a, b) > 0;
  }

  /** Returns the larger of two numbers. */
  public static long max(long a, long b) {
    return isGreater(a, b) ? a : b;
  }

  /** Returns the smaller of two numbers. */
  public static long min(long a, long b) {
    return isGreater(a, b) ? b : a;
  }

  /** Returns the decimal digits of a number, for paths, logs and JSON. */
  public static String toText(long number) {
    return Long.toUnsignedString(number);
  }

  /** Returns the number in the type in which {@link MessageCodec} encodes it. */
  public static Number toWire(long number) {
    return number >= 0 ? Long.valueOf(number) : new BigInteger(toText(number));
  }

  /** Whether a decoded value is an integer from 0 to 2^64 - 1. */
  static boolean isInRange(Object decoded) {
    return decoded instanceof Long number && number >= 0
        || decoded instanceof BigInteger large
            && large.signum() >= 0
            && large.bitLength() <= Long.SIZE;
  }

  /**
   * Returns the number that a decoded value holds.
   *
   * @throws BadMessage if the value is no integer from 0 to 2^64 - 1
   */
  public static long fromWire(Object decoded) throws BadMessage {
    if (!isInRange(decoded)) {
      throw new BadMessage("not an integer from 0 to 2^64 - 1");
    }
    return ((Number) decoded).longValue();
  }
}
