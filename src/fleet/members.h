// Which hosts live, as far as their heartbeats tell, and which of them callers are sent to.
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
  /// A host of this region, or of another, that was silent for this time is taken as stopped.
  base::Duration silence = base::Duration::Milliseconds(1800);
  base::Duration remote_silence = base::Duration::Milliseconds(4000);
  /// A silent host still counts this long where sums over all hosts are divided: it may be alive
  /// and cut off.
  base::Duration memory = base::Duration::Seconds(20);
  /// Addresses that never answered, or no longer do, are tried this long.
  base::Duration contact_memory = base::Duration::Seconds(60);
};

class Members {
 public:
  /// `zones` maps each availability zone to its region.
  Members(HostRecord self, std::map<std::string, std::string, std::less<>> zones,
          const MemberTiming& timing)
      : self_(std::move(self)), zones_(std::move(zones)), timing_(timing) {}

  /// False for a heartbeat that is older than one already taken.
  bool OnHeartbeat(const Heartbeat& heartbeat, base::Instant now);
  /// An address where a host may be found.
  void AddContact(const base::Endpoint& peers, base::Instant now);
  /// Forgets what has been silent too long.
  void Expire(base::Instant now);

  /// Where to send heartbeats: hosts of this region, hosts of others, and addresses where no host
  /// has been heard.
  struct ContactLists {
    std::vector<base::Endpoint> local;
    std::vector<base::Endpoint> remote;
    std::vector<base::Endpoint> unheard;
  };
  ContactLists Contacts() const;
  /// Hosts that may be alive, this one included.
  std::uint32_t CountForSums(base::Instant now) const;
  std::uint32_t CountLive(base::Instant now) const;
  /// Keys of the other hosts of this region that may be alive: hashes of their names.
  std::vector<std::uint64_t> LocalKeys(base::Instant now) const;
  /// Sum of the live other hosts' work for each target.
  std::vector<TargetLoad> PeerLoads(base::Instant now) const;
  /// Whether this host is to watch the store: each region has a few watchers, the first of those
  /// that live by bandwidth and then by hash of the name, and more while some of these cannot reach
  /// the store. A watcher sends each change to the whole region, so a narrow link delays all.
  bool ShouldWatchStore(base::Instant now) const;
  /// The heartbeat of a live host with a fresh catalog, of this region if there is one; null when
  /// there is none.
  const Heartbeat* FindFreshCatalog(base::Instant now) const;

  /// Hosts for callers of a region: the live ones there that are not stopping; all of those where
  /// the region has none. `is_leaving` tells whether this host is stopping. At most `most`.
  std::vector<base::Endpoint> Resolve(std::string_view region, bool is_leaving, std::size_t most,
                                      base::Instant now) const;

  const HostRecord& self() const { return self_; }

 private:
  struct Member {
    Heartbeat last;
    base::Instant heard_at;
  };

  bool IsLive(const Member& member, base::Instant now) const;
  bool IsLocal(const Member& member) const {
    return RegionOf(member.last.sender.zone) == RegionOf(self_.zone);
  }
  std::string_view RegionOf(std::string_view zone) const;

  HostRecord self_;
  std::map<std::string, std::string, std::less<>> zones_;
  MemberTiming timing_;
  /// Other hosts, by name.
  std::map<base::HostId, Member> members_;
  /// Addresses without this host's own, and when each was last named.
  std::vector<std::pair<base::Endpoint, base::Instant>> contacts_;
};

}  // namespace mangonotch::fleet
