package org.cuminlatch.node.mesh;

import java.util.List;
import java.util.Optional;
import org.cuminlatch.core.quota.QuotaGrant;
import org.cuminlatch.core.quota.QuotaRequest;
import org.cuminlatch.wire.proto.call.CallFrame;
import org.cuminlatch.wire.proto.call.QuotaGrants;
import org.cuminlatch.wire.proto.call.QuotaNeed;
import org.cuminlatch.wire.proto.call.QuotaTokens;

/** Converts the messages of quotas to frames and back. */
final class QuotaFrames {

  private QuotaFrames() {}

  static CallFrame encodeRequest(QuotaRequest request) {
    org.cuminlatch.wire.proto.call.QuotaRequest.Builder encoded =
        org.cuminlatch.wire.proto.call.QuotaRequest.newBuilder()
            .setNode(request.node())
            .setNumber(request.number())
            .setGroup(request.group())
            .setCounts(request.counts())
            .setStarted(request.started());
    for (QuotaRequest.Need need : request.needs()) {
      encoded.addNeeds(
          QuotaNeed.newBuilder()
              .setAccount(need.account())
              .setWanted(need.wanted())
              .setWaiting(need.waiting())
              .setReleased(need.released())
              .setReturned(need.returned()));
    }
    return CallFrame.newBuilder().setQuotaRequest(encoded).build();
  }

  /** Returns the request of a frame, empty if its fields can't be valid. */
  static Optional<QuotaRequest> decodeRequest(org.cuminlatch.wire.proto.call.QuotaRequest frame) {
    try {
      List<QuotaRequest.Need> needs =
          frame.getNeedsList().stream()
              .map(
                  need ->
                      new QuotaRequest.Need(
                          need.getAccount(),
                          need.getWanted(),
                          need.getWaiting(),
                          need.getReleased(),
                          need.getReturned()))
              .toList();
      return Optional.of(
          new QuotaRequest(
              frame.getNode(),
              frame.getNumber(),
              frame.getGroup(),
              frame.getCounts(),
              frame.getStarted(),
              needs));
    } catch (IllegalArgumentException invalid) {
      return Optional.empty();
    }
  }

  static CallFrame encodeGrants(long number, List<QuotaGrant> grants) {
    QuotaGrants.Builder encoded = QuotaGrants.newBuilder().setNumber(number);
    for (QuotaGrant grant : grants) {
      encoded.addTokens(
          QuotaTokens.newBuilder()
              .setAccount(grant.account())
              .setGranted(grant.tokens())
              .setExhausted(grant.exhausted()));
    }
    return CallFrame.newBuilder().setQuotaGrants(encoded).build();
  }

  /** Returns the grants of a frame without those whose fields can't be valid. */
  static List<QuotaGrant> decodeGrants(QuotaGrants frame) {
    return frame.getTokensList().stream()
        .filter(tokens -> !tokens.getAccount().isBlank() && tokens.getGranted() >= 0)
        .map(
            tokens ->
                new QuotaGrant(tokens.getAccount(), tokens.getGranted(), tokens.getExhausted()))
        .toList();
  }
}
