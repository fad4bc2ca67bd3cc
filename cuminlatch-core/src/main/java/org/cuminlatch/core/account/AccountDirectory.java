package org.cuminlatch.core.account;

import static org.cuminlatch.core.Preconditions.notNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cuminlatch.core.config.ClientAccount;
import org.cuminlatch.core.hash.StableHash;

/**
 * Finds the client account of an API key.
 *
 * <p>The time of a lookup does not tell how much of a key was right: keys are found by a hash that
 * is seeded with a secret of this process, and then compared in constant time.
 */
public final class AccountDirectory {

  private final String secret;
  private final boolean empty;
  private final Map<Long, List<Entry>> entriesByHash = new HashMap<>();

  private record Entry(byte[] key, ClientAccount account) {}

  private AccountDirectory(Collection<ClientAccount> accounts, String secret) {
    this.secret = notNull(secret, "secret");
    this.empty = accounts.isEmpty();
    for (ClientAccount account : accounts) {
      for (String key : account.apiKeys()) {
        entriesByHash
            .computeIfAbsent(hash(key), unused -> new ArrayList<>(1))
            .add(new Entry(bytes(key), account));
      }
    }
  }

  /**
   * Creates a directory.
   *
   * @param accounts all accounts of a configuration
   * @param secret text that callers can't know
   * @return the directory
   */
  public static AccountDirectory of(Collection<ClientAccount> accounts, String secret) {
    return new AccountDirectory(notNull(accounts, "accounts"), secret);
  }

  /**
   * Returns whether the configuration has no accounts, so that callers need no key.
   *
   * @return true if there are no accounts
   */
  public boolean isEmpty() {
    return empty;
  }

  /**
   * Finds the account that holds a key.
   *
   * @param key key that a caller has sent
   * @return the account; empty if none holds the key
   */
  public Optional<ClientAccount> holderOf(String key) {
    byte[] bytes = bytes(notNull(key, "key"));
    Optional<ClientAccount> holder = Optional.empty();
    for (Entry entry : entriesByHash.getOrDefault(hash(key), List.of())) {
      if (MessageDigest.isEqual(entry.key(), bytes)) {
        holder = Optional.of(entry.account());
      }
    }
    return holder;
  }

  private long hash(String key) {
    return StableHash.of(secret, key);
  }

  private static byte[] bytes(String key) {
    return key.getBytes(StandardCharsets.UTF_8);
  }
}
