package org.cuminlatch.core.account;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.cuminlatch.core.config.ClientAccount;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

@DisplayName("The directory of client accounts")
class AccountDirectoryTests {

  private static final ClientAccount MUSEUM = account("museum", "key-1", "key-2");
  private static final ClientAccount SURVEY = account("survey", "key-3");

  private final AccountDirectory directory =
      AccountDirectory.of(List.of(MUSEUM, SURVEY), "secret of this process");

  private static ClientAccount account(String name, String... keys) {
    return new ClientAccount(name, Set.of(keys), OptionalInt.empty(), Optional.empty(), Set.of());
  }

  @Test
  void findsAccountByEachOfItsKeys() {
    assertThat(directory.holderOf("key-1"), is(Optional.of(MUSEUM)));
    assertThat(directory.holderOf("key-2"), is(Optional.of(MUSEUM)));
    assertThat(directory.holderOf("key-3"), is(Optional.of(SURVEY)));
  }

  /** Guards against keys that are accepted because they begin or end like a valid one. */
  @Test
  void findsNoAccountForSimilarKeys() {
    for (String key : List.of("", "key-", "key-11", "KEY-1", " key-1", "key-1\0")) {
      assertThat(key, directory.holderOf(key), is(Optional.empty()));
    }
  }

  @Test
  void isNotEmptyIfItsOnlyAccountHasNoKeys() {
    assertThat(AccountDirectory.of(List.of(account("museum")), "s").isEmpty(), is(false));
    assertThat(AccountDirectory.of(List.of(), "s").isEmpty(), is(true));
  }

  /** Guards against keys in logs and error messages. */
  @Test
  void keepsKeysOutOfDescriptions() {
    assertThat(MUSEUM.toString(), not(containsString("key-1")));
  }
}
