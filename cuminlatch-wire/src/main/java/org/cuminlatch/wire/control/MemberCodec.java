package org.cuminlatch.wire.control;

import java.util.Set;
import java.util.regex.Pattern;
import org.cuminlatch.core.membership.Address;
import org.cuminlatch.core.membership.Locality;
import org.cuminlatch.core.membership.Member;
import org.cuminlatch.core.membership.Member.Phase;
import org.cuminlatch.core.membership.Member.Status;
import org.cuminlatch.core.membership.Update;
import org.cuminlatch.wire.proto.membership.Endpoint;
import org.cuminlatch.wire.proto.membership.MemberFacts;
import org.cuminlatch.wire.proto.membership.UpdateMessage;
import org.cuminlatch.wire.proto.membership.VerdictMessage;

/**
 * Encodes and decodes members, addresses and membership updates.
 *
 * <p>Strings that many members share, such as regions and services, are interned.
 */
final class MemberCodec {

  private static final Pattern IPV4 =
      Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})");
  private static final int OCTET_BITS = 8;
  private static final int OCTET_MASK = 0xff;
  private static final int OCTETS = 4;

  private MemberCodec() {}

  static UpdateMessage encode(Update update) {
    UpdateMessage.Builder builder = UpdateMessage.newBuilder();
    if (update instanceof Update.Announcement announcement) {
      return builder.setAnnouncement(encodeFacts(announcement.member())).build();
    }
    Update.Verdict verdict = (Update.Verdict) update;
    return builder
        .setVerdict(
            VerdictMessage.newBuilder()
                .setInstance(verdict.instance())
                .setIncarnation(verdict.incarnation())
                .setStatus(verdict.status().ordinal()))
        .build();
  }

  static Update decode(UpdateMessage message) {
    return switch (message.getUpdateCase()) {
      case ANNOUNCEMENT -> new Update.Announcement(decodeFacts(message.getAnnouncement()));
      case VERDICT -> {
        VerdictMessage verdict = message.getVerdict();
        yield new Update.Verdict(
            verdict.getInstance(), verdict.getIncarnation(), status(verdict.getStatus()));
      }
      case UPDATE_NOT_SET -> throw new IllegalArgumentException("update has an unknown type");
    };
  }

  private static MemberFacts encodeFacts(Member member) {
    MemberFacts.Builder facts =
        MemberFacts.newBuilder()
            .setInstance(member.instance())
            .setIncarnation(member.incarnation())
            .setStatus(member.status().ordinal())
            .setControlAddress(endpoint(member.controlAddress()))
            .setRegion(member.locality().region())
            .setZone(member.locality().zone())
            .setService(member.service())
            .setTargetVersion(member.targetVersion())
            .setSlots(member.slots())
            .setPhase(member.phase().ordinal())
            .addAllSchemaVersions(member.schemaVersions())
            .setConfigVersion(member.configVersion())
            .setStateHash(member.stateHash());
    if (member.callAddress().host().equals(member.controlAddress().host())) {
      facts.setCallPort(member.callAddress().port());
    } else {
      facts.setCallAddress(endpoint(member.callAddress()));
    }
    return facts.build();
  }

  private static Member decodeFacts(MemberFacts facts) {
    Address control = address(facts.getControlAddress());
    Address call =
        facts.hasCallAddress()
            ? address(facts.getCallAddress())
            : new Address(control.host(), facts.getCallPort());
    return new Member(
        facts.getInstance(),
        facts.getIncarnation(),
        status(facts.getStatus()),
        control,
        call,
        new Locality(facts.getRegion().intern(), facts.getZone().intern()),
        facts.getService().intern(),
        facts.getTargetVersion().intern(),
        facts.getSlots(),
        phase(facts.getPhase()),
        Set.copyOf(facts.getSchemaVersionsList()),
        facts.getConfigVersion(),
        facts.getStateHash().intern());
  }

  static Endpoint endpoint(Address address) {
    Endpoint.Builder endpoint = Endpoint.newBuilder().setPort(address.port());
    var matcher = IPV4.matcher(address.host());
    if (!matcher.matches()) {
      return endpoint.setHost(address.host()).build();
    }
    int packed = 0;
    for (int i = 1; i <= OCTETS; i++) {
      packed = packed << OCTET_BITS | Integer.parseInt(matcher.group(i)) & OCTET_MASK;
    }
    return endpoint.setIpv4(packed).build();
  }

  static Address address(Endpoint endpoint) {
    if (!endpoint.getHost().isEmpty()) {
      return new Address(endpoint.getHost(), endpoint.getPort());
    }
    StringBuilder host = new StringBuilder();
    for (int i = OCTETS - 1; i >= 0; i--) {
      host.append(endpoint.getIpv4() >>> i * OCTET_BITS & OCTET_MASK);
      host.append(i > 0 ? "." : "");
    }
    return new Address(host.toString(), endpoint.getPort());
  }

  private static Status status(int ordinal) {
    return enumValue(Status.values(), ordinal, "status");
  }

  private static Phase phase(int ordinal) {
    return enumValue(Phase.values(), ordinal, "phase");
  }

  private static <E> E enumValue(E[] values, int ordinal, String name) {
    if (ordinal < 0 || ordinal >= values.length) {
      throw new IllegalArgumentException("unknown " + name + " " + ordinal);
    }
    return values[ordinal];
  }
}
