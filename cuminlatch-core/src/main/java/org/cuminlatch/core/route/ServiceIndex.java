package org.cuminlatch.core.route;

import static org.cuminlatch.core.Preconditions.notNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminlatch.core.membership.Member;

/** Index of the members that accept calls, by service and target version. */
public final class ServiceIndex {

  private final Map<ServiceVersion, List<Member>> serving = new HashMap<>();
  private final Map<String, List<Member>> servingByService = new HashMap<>();

  private ServiceIndex(Collection<Member> members) {
    for (Member member : members) {
      if (member.acceptsCalls()) {
        ServiceVersion key = new ServiceVersion(member.service(), member.targetVersion());
        serving.computeIfAbsent(key, unused -> new ArrayList<>()).add(member);
        servingByService.computeIfAbsent(member.service(), unused -> new ArrayList<>()).add(member);
      }
    }
    serving.values().forEach(group -> group.sort(Comparator.comparing(Member::instance)));
    servingByService.values().forEach(group -> group.sort(Comparator.comparing(Member::instance)));
  }

  /**
   * Creates an index.
   *
   * @param members the members; those that accept no calls are left out
   * @return the index
   */
  public static ServiceIndex of(Collection<Member> members) {
    return new ServiceIndex(notNull(members, "members"));
  }

  /**
   * Returns the members that accept calls for a target version.
   *
   * @param service name of the service
   * @param version name of the target version
   * @return the members, ordered by instance name
   */
  public List<Member> serving(String service, String version) {
    return serving.getOrDefault(new ServiceVersion(service, version), List.of());
  }

  /**
   * Returns the members that accept calls for a service, of any target version.
   *
   * @param service name of the service
   * @return the members, ordered by instance name
   */
  public List<Member> serving(String service) {
    return servingByService.getOrDefault(service, List.of());
  }

  private record ServiceVersion(String service, String version) {}
}
