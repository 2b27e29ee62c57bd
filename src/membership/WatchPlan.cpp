#include "membership/WatchPlan.h"

#include "membership/Rendezvous.h"

#include <algorithm>

namespace crocusmount {

namespace {

    using Group = std::vector<const WatchPlan::Backend*>;

    /// @return the reachable servers of a group that an instance uses, at most count
    std::vector<BackendId> subsetOf(const InstanceId& instance, const Group& group, std::uint32_t count)
    {
        std::vector<std::pair<std::uint64_t, const BackendId*>> ranked;
        for (const WatchPlan::Backend* backend : group) {
            if (backend->reachable)
                ranked.emplace_back(rendezvous(backend->id.value(), instance), &backend->id);
        }
        const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min<std::size_t>(count, ranked.size()));
        std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
        std::vector<BackendId> subset;
        for (auto next = ranked.begin(); next != end; ++next)
            subset.push_back(*next->second);
        return subset;
    }

    /// Ranks this instance among the watchers of a server. The instance of rank 0 reports the server's load to others.
    /// @return the number of live instances that precede this one
    std::size_t rankOf(const InstanceId& self, const std::vector<MemberUpdate>& members, const BackendId& id)
    {
        const std::uint64_t own = rendezvous(id.value(), self);
        return static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [&](const MemberUpdate& member) {
            return member.instance != self && rendezvous(id.value(), member.instance) > own;
        }));
    }

} // namespace

WatchPlan WatchPlan::make(const InstanceId& self, const std::vector<MemberUpdate>& members,
    const std::vector<Backend>& backends, std::uint32_t watchers, std::uint32_t subsetPerGroup)
{
    WatchPlan plan;
    plan.m_usesAll = !subsetPerGroup;
    std::set<BackendId> ledServers;
    std::map<std::string, Group> groups;
    std::set<std::string> ledGroups;
    for (const Backend& backend : backends) {
        groups[backend.group].push_back(&backend);
        const std::size_t rank = rankOf(self, members, backend.id);
        if (rank < watchers)
            plan.m_watched.insert(backend.id);
        if (rank == 0 && backend.reachable) {
            ledServers.insert(backend.id);
            ledGroups.insert(backend.group);
        }
    }
    if (plan.m_usesAll) {
        for (const MemberUpdate& member : members) {
            if (member.instance != self && !ledServers.empty())
                plan.m_reportTargets[member.peerAddress].assign(ledServers.begin(), ledServers.end());
        }
        return plan;
    }
    for (const auto& [name, group] : groups) {
        for (BackendId& id : subsetOf(self, group, subsetPerGroup))
            plan.m_subset.insert(std::move(id));
        if (!ledGroups.contains(name))
            continue;
        for (const MemberUpdate& member : members) {
            if (member.instance == self)
                continue;
            for (const BackendId& id : subsetOf(member.instance, group, subsetPerGroup)) {
                if (ledServers.contains(id))
                    plan.m_reportTargets[member.peerAddress].push_back(id);
            }
        }
    }
    return plan;
}

} // namespace crocusmount
