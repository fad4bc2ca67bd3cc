package org.cuminlatch.core.membership;

import static org.cuminlatch.core.Preconditions.notBlank;
import static org.cuminlatch.core.Preconditions.notNegative;
import static org.cuminlatch.core.Preconditions.notNull;

import java.util.List;
import org.cuminlatch.core.control.ControlMessage;

/** Message of the membership protocol. */
public sealed interface MembershipMessage extends ControlMessage {

  /**
   * State of a sender, small enough to be part of every message.
   *
   * @param instance name of the sending instance
   * @param incarnation its incarnation
   * @param configVersion configuration version that it has in force
   * @param stateHash abbreviated hash of that configuration
   * @param rosterDigest digest of its roster
   */
  record Sender(
      String instance, long incarnation, long configVersion, String stateHash, long rosterDigest) {

    /** Checks the fields. */
    public Sender {
      notBlank(instance, "instance");
      notNegative(incarnation, "incarnation");
      notNegative(configVersion, "configVersion");
      notNull(stateHash, "stateHash");
    }
  }

  /**
   * Probes whether an instance is alive.
   *
   * @param sequence number that the acknowledgement repeats
   * @param sender state of the sender
   * @param target instance that is probed, blank if the sender has only its address
   * @param updates recent updates, piggybacked
   */
  record Ping(long sequence, Sender sender, String target, List<Update> updates)
      implements MembershipMessage {

    /** Checks the fields and copies the updates. */
    public Ping {
      notNegative(sequence, "sequence");
      notNull(sender, "sender");
      notNull(target, "target");
      updates = List.copyOf(updates);
    }
  }

  /**
   * Acknowledges a ping.
   *
   * @param sequence number of the ping
   * @param sender state of the instance that was probed
   * @param updates recent updates, piggybacked
   */
  record Ack(long sequence, Sender sender, List<Update> updates) implements MembershipMessage {

    /** Checks the fields and copies the updates. */
    public Ack {
      notNegative(sequence, "sequence");
      notNull(sender, "sender");
      updates = List.copyOf(updates);
    }
  }

  /**
   * Asks a third instance to ping one that did not answer: an indirect probe.
   *
   * @param sequence number that the relayed acknowledgement repeats
   * @param sender state of the sender
   * @param target instance to ping
   * @param targetAddress its control address
   */
  record PingRequest(long sequence, Sender sender, String target, Address targetAddress)
      implements MembershipMessage {

    /** Checks the fields. */
    public PingRequest {
      notNegative(sequence, "sequence");
      notNull(sender, "sender");
      notBlank(target, "target");
      notNull(targetAddress, "targetAddress");
    }
  }

  /**
   * Digest of the members of a zone.
   *
   * @param locality the zone
   * @param digest digest over instances and incarnations
   */
  record ZoneDigest(Locality locality, long digest) {

    /** Checks the fields. */
    public ZoneDigest {
      notNull(locality, "locality");
    }
  }

  /**
   * First step of the synchronization of two rosters: digests of all zones.
   *
   * @param sender state of the sender
   * @param zones one digest for each zone on the sender's roster
   */
  record Digest(Sender sender, List<ZoneDigest> zones) implements MembershipMessage {

    /** Checks the fields and copies the list. */
    public Digest {
      notNull(sender, "sender");
      zones = List.copyOf(zones);
    }
  }

  /**
   * Second step of the synchronization: fingerprints of the live members of the zones that differ.
   *
   * @param sender state of the sender
   * @param zones the zones that the fingerprints cover completely
   * @param fingerprints one for each live member, over its name and incarnation
   */
  record Summary(Sender sender, List<Locality> zones, List<Long> fingerprints)
      implements MembershipMessage {

    /** Checks the fields and copies the lists. */
    public Summary {
      notNull(sender, "sender");
      zones = List.copyOf(zones);
      fingerprints = List.copyOf(fingerprints);
    }
  }

  /**
   * Last step of the synchronization: facts that the receiver lacks, and a request for those that
   * the sender lacks.
   *
   * @param sender state of the sender
   * @param updates facts that the receiver lacks
   * @param wanted fingerprints of members whose facts the sender requests
   */
  record Sync(Sender sender, List<Update> updates, List<Long> wanted) implements MembershipMessage {

    /** Checks the fields and copies the lists. */
    public Sync {
      notNull(sender, "sender");
      updates = List.copyOf(updates);
      wanted = List.copyOf(wanted);
    }
  }

  /**
   * Informs a keeper of the configuration version that an instance has in force.
   *
   * @param instance the instance
   * @param configVersion the version that it has in force
   */
  record VersionNote(String instance, long configVersion) implements MembershipMessage {

    /** Checks the fields. */
    public VersionNote {
      notBlank(instance, "instance");
      notNegative(configVersion, "configVersion");
    }
  }

  /**
   * Queries a keeper for the configuration version that an instance last announced.
   *
   * @param instance the querying instance
   */
  record FloorQuery(String instance) implements MembershipMessage {

    /** Checks the fields. */
    public FloorQuery {
      notBlank(instance, "instance");
    }
  }

  /**
   * Answers a floor query.
   *
   * @param instance the answering instance
   * @param rememberedVersion the version that it remembers of the querying instance, 0 if none
   * @param ownVersion the version that the answering instance has in force
   */
  record FloorAnswer(String instance, long rememberedVersion, long ownVersion)
      implements MembershipMessage {

    /** Checks the fields. */
    public FloorAnswer {
      notBlank(instance, "instance");
      notNegative(rememberedVersion, "rememberedVersion");
      notNegative(ownVersion, "ownVersion");
    }
  }

  /**
   * Carries updates independently of probes.
   *
   * @param updates recent updates of the sender
   */
  record Gossip(List<Update> updates) implements MembershipMessage {

    /** Copies the updates. */
    public Gossip {
      updates = List.copyOf(updates);
    }
  }
}
