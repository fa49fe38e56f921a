package wickdrift.knownred;

import java.lang.reflect.Method;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Runs the tests of {@link KnownRedList} like all others, prints the outcome of each, and reports
 * their failures as aborted instead of failed. Other tests are not affected. It is registered for
 * all tests by {@code META-INF/services}.
 */
public final class KnownRedExtension implements InvocationInterceptor {
  private static final Map<String, KnownRedList.Entry> ENTRY_BY_TEST =
      indexByTest(KnownRedList.load());

  private static Map<String, KnownRedList.Entry> indexByTest(List<KnownRedList.Entry> entries) {
    return entries.stream()
        .filter(entry -> !entry.isCommand())
        .collect(Collectors.toMap(KnownRedList.Entry::subject, Function.identity()));
  }

  @Override
  public void interceptTestMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> context,
      ExtensionContext test)
      throws Throwable {
    runAndReport(invocation, context, test.getDisplayName());
  }

  @Override
  public void interceptTestTemplateMethod(
      Invocation<Void> invocation,
      ReflectiveInvocationContext<Method> context,
      ExtensionContext test)
      throws Throwable {
    runAndReport(invocation, context, test.getDisplayName());
  }

  private static void runAndReport(
      Invocation<Void> invocation, ReflectiveInvocationContext<Method> context, String name)
      throws Throwable {
    Method method = context.getExecutable();
    String id = method.getDeclaringClass().getName() + "." + method.getName();
    KnownRedList.Entry entry = ENTRY_BY_TEST.get(id);
    if (entry == null) {
      invocation.proceed();
      return;
    }
    try {
      invocation.proceed();
    } catch (Throwable failure) {
      printOutcome(id, name, "FAILED, as listed (" + entry.cause() + "; " + entry.issue() + ")");
      throw new TestAbortedException("known red: " + entry.cause(), failure);
    }
    printOutcome(id, name, "passed, though it is listed");
  }

  private static void printOutcome(String id, String name, String outcome) {
    System.out.println("KNOWN RED " + id + " [" + name + "]: " + outcome);
  }
}
