package org.cuminlatch.node.mesh;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cuminlatch.core.account.AccountDirectory;
import org.cuminlatch.core.admission.RequestOrigin;
import org.cuminlatch.core.config.CallLimits;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.config.Route;
import org.cuminlatch.core.config.RoutePolicy;
import org.cuminlatch.core.config.RoutePolicy.Repeatability;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

@DisplayName("The origin of a call")
class CallOriginsTests {

  private static final Instant RUNS_UNTIL = Instant.EPOCH.plusSeconds(1);
  private static final Instant OTHER = Instant.EPOCH.plusSeconds(3);
  private static final Route KEYED = Route.of("keyed", "/keyed", "orders");
  private static final Route PUBLIC =
      new Route(
          "public",
          Optional.empty(),
          "/public",
          Map.of(),
          "orders",
          CallLimits.defaults(),
          Optional.empty(),
          new RoutePolicy(
              Repeatability.BY_METHOD, CallLimits.MAX_TIMEOUT, 0, List.of(), true, Set.of()));

  private final CallOrigins origins = new CallOrigins(RUNS_UNTIL::equals);

  @Nested
  class WithClientAccounts {

    private final AccountDirectory accounts =
        AccountDirectory.of(
            List.of(
                new ClientAccount(
                    "large",
                    Set.of("key-1"),
                    OptionalInt.empty(),
                    Optional.of(new ClientAccount.Quota(288, 288)),
                    Set.of())),
            "secret");

    @Test
    void isTheAccountWithItsQuotaAsWeight() {
      CallerIdentity caller = CallerIdentity.of(List.of("Bearer key-1"), accounts, KEYED);

      assertThat(origins.of(caller, true, KEYED), is(new RequestOrigin(false, "large", 288)));
    }

    @Test
    void isTheTargetOnPublicRouteWithoutKey() {
      CallerIdentity caller = CallerIdentity.of(List.of(), accounts, PUBLIC);

      assertThat(origins.of(caller, false, PUBLIC), is(new RequestOrigin(true, "", 0)));
    }
  }

  /** A client whose key can't be verified at present must not go before others. */
  @Test
  void isClientOnPublicRouteWithKeyThatIsNotVerified() {
    AccountDirectory accounts =
        AccountDirectory.of(
            List.of(
                new ClientAccount(
                    "one", Set.of("key-1"), OptionalInt.empty(), Optional.empty(), Set.of())),
            "secret");
    CallerIdentity caller = CallerIdentity.of(List.of(), accounts, PUBLIC);

    assertThat(origins.of(caller, true, PUBLIC), is(RequestOrigin.CLIENT));
  }

  @Nested
  class WithoutClientAccounts {

    private final CallerIdentity caller =
        CallerIdentity.of(List.of(), AccountDirectory.of(List.of(), "secret"), KEYED);

    @Test
    void isClientAtFirst() {
      origins.observe(caller, KEYED, RUNS_UNTIL);

      assertThat(origins.of(caller, false, KEYED), is(RequestOrigin.CLIENT));
    }

    @Test
    void isTheTargetOnceDeadlinesHaveMatchedThoseOfItsRequests() {
      for (int i = 0; i < 20; i++) {
        origins.observe(caller, KEYED, RUNS_UNTIL);
      }

      assertThat(origins.of(caller, false, KEYED), is(new RequestOrigin(true, "", 0)));
      assertThat(origins.of(caller, false, PUBLIC), is(RequestOrigin.CLIENT));
    }

    @Test
    void isClientIfDeadlinesDoNotMatch() {
      for (int i = 0; i < 20; i++) {
        origins.observe(caller, KEYED, OTHER);
      }

      assertThat(origins.of(caller, false, KEYED), is(RequestOrigin.CLIENT));
    }
  }
}
