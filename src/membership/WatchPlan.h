#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/PeerMessage.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocusmount {

/// Assigns the backend servers that this instance probes, those that it sends work to, and the peers to which it
/// reports the load of servers. Rendezvous hashing derives the assignment from the lists of live instances and of
/// backend servers, so all instances with equal lists agree on it. If a server or an instance is added or removed, only
/// its own share is reassigned (docs/decisions/0006-engine-state.md).
class WatchPlan {
public:
    /// The properties of a backend server that the plan depends on.
    struct Backend {
        BackendId id;
        std::string group; ///< model and layer range; servers of one group are interchangeable; empty: unknown
        bool reachable = false;
    };

    /// Computes the plan of an instance.
    /// @param self            the instance
    /// @param members         live instances, including self
    /// @param watchers        number of instances that watch each server
    /// @param subsetPerGroup  number of servers of each group that an instance uses; 0: all
    static WatchPlan make(const InstanceId& self, const std::vector<MemberUpdate>& members, const std::vector<Backend>&,
        std::uint32_t watchers, std::uint32_t subsetPerGroup);

    /// @return the servers that this instance probes
    const std::set<BackendId>& watched() const { return m_watched; }
    /// @return whether this instance sends work to a server
    bool uses(const BackendId& id) const { return m_usesAll || m_subset.contains(id); }
    /// @return the servers whose load this instance reports to a peer, by the peer's address
    const std::map<std::string, std::vector<BackendId>>& reportTargets() const { return m_reportTargets; }

private:
    bool m_usesAll = true;
    std::set<BackendId> m_watched;
    std::set<BackendId> m_subset;
    std::map<std::string, std::vector<BackendId>> m_reportTargets;
};

} // namespace crocusmount
