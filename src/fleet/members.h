// Tracks the liveness of the other hosts by their heartbeats and selects hosts for callers.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/instant.h"
#include "fleet/heartbeat.h"

namespace mangonotch::fleet {

struct MemberTiming {
  /// A host of this region is considered stopped after this time without a heartbeat.
  base::Duration local_timeout = base::Duration::Milliseconds(1800);
  /// The same for a host of another region.
  base::Duration remote_timeout = base::Duration::Milliseconds(4000);
  /// A host counts as possibly alive for this time after its last heartbeat when totals are divided
  /// among all hosts: it may be running but partitioned from this host.
  base::Duration retention = base::Duration::Seconds(20);
  /// How long heartbeats are sent to an address from which none arrive.
  base::Duration contact_retention = base::Duration::Seconds(60);
};

class Members {
 public:
  /// `zones` maps each availability zone to its region.
  Members(HostRecord self, std::map<std::string, std::string, std::less<>> zones,
          const MemberTiming& timing)
      : self_(std::move(self)), zones_(std::move(zones)), timing_(timing) {}

  /// Returns false for this host's own heartbeat and for one that is not newer than the last of
  /// the same incarnation.
  bool OnHeartbeat(const Heartbeat& heartbeat, base::Instant now);
  /// Adds or refreshes an address at which a host may be reached.
  void AddContact(const base::Endpoint& address, base::Instant now);
  /// Removes hosts and addresses whose retention time has passed.
  void Expire(base::Instant now);

  /// Addresses to send heartbeats to: known hosts of this region, known hosts of other regions, and
  /// addresses at which no host is known.
  struct ContactLists {
    std::vector<base::Endpoint> local;
    std::vector<base::Endpoint> remote;
    std::vector<base::Endpoint> unconfirmed;
  };
  ContactLists Contacts() const;
  /// Number of hosts that may be alive, including this one; totals over all hosts are divided
  /// by it.
  std::uint32_t CountPossiblyAlive(base::Instant now) const;
  /// Number of live hosts, including this one.
  std::uint32_t CountLive(base::Instant now) const;
  /// Hashes of the names of the other hosts of this region that may be alive.
  std::vector<std::uint64_t> LocalHostKeys(base::Instant now) const;
  /// Number of requests that the other live hosts together have in flight at each target.
  std::vector<TargetLoad> PeerLoads(base::Instant now) const;
  /// Whether this host should watch the store. Each region has a few watchers: the live hosts with
  /// the highest bandwidth, ties broken by the hash of the name, and further hosts while some of
  /// these cannot reach the store. A watcher sends each change to the whole region, so a watcher on
  /// a slow link would delay all hosts there.
  bool ShouldWatchStore(base::Instant now) const;
  /// The last heartbeat of a live host with a fresh catalog, preferably of this region; null if
  /// there is none. `avoided` is returned only if there is no other.
  const Heartbeat* FindCatalogSource(base::Incarnation avoided, base::Instant now) const;
  /// The last heartbeat of a live host that knows a change after `applied`, preferably of this
  /// region; null if there is none. `avoided` is returned only if there is no other.
  const Heartbeat* FindAhead(const catalog::StorePosition& applied, base::Incarnation avoided,
                             base::Instant now) const;
  /// The last heartbeat of a live host; null if that incarnation is not known or not live.
  const Heartbeat* FindLive(base::Incarnation incarnation, base::Instant now) const;
  bool IsInOwnRegion(const HostRecord& record) const {
    return RegionOf(record.zone) == RegionOf(self_.zone);
  }

  /// Caller addresses for callers of a region: the live hosts there that are not stopping, or those
  /// of all regions if the region has none. This host is excluded if `is_leaving` is set, unless
  /// there is no other. Returns at least one and at most `max_count` addresses.
  std::vector<base::Endpoint> Resolve(std::string_view region, bool is_leaving,
                                      std::size_t max_count, base::Instant now) const;

  const HostRecord& self() const { return self_; }

 private:
  struct Member {
    Heartbeat last_heartbeat;
    base::Instant received_at;
    /// The host is in this host's region. Kept here, since decisions go through all members.
    bool is_local = false;
  };

  bool IsLive(const Member& member, base::Instant now) const;
  /// The last heartbeat of a live host for which `condition` holds, preferably of this region; null
  /// if there is none. `avoided` is returned only if there is no other.
  template <typename Condition>
  const Heartbeat* FindNearest(base::Incarnation avoided, base::Instant now,
                               Condition condition) const;
  std::string_view RegionOf(std::string_view zone) const;

  HostRecord self_;
  std::map<std::string, std::string, std::less<>> zones_;
  MemberTiming timing_;
  /// The other hosts, by name.
  std::map<base::HostId, Member> members_;
  /// Peer addresses other than this host's own, each with the time of its last refresh.
  std::vector<std::pair<base::Endpoint, base::Instant>> contacts_;
};

}  // namespace mangonotch::fleet
