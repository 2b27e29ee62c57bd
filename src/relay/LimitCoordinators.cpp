#include "relay/LimitCoordinators.h"

#include "membership/Rendezvous.h"

#include <set>

namespace crocusmount::relay {

namespace {

    /// Instances whose entries have ended in an outage register again within this time.
    constexpr Duration UnlistedRetention = std::chrono::seconds(3);

} // namespace

void LimitCoordinators::update(const std::vector<Candidate>& listed, TimePoint now)
{
    std::set<std::string> addresses;
    for (const Candidate& each : listed) {
        addresses.insert(each.address);
        m_known[each.id] = { each, now };
    }
    std::erase_if(m_known, [&](const auto& each) {
        const Known& known = each.second;
        if (known.lastListedAt == now)
            return false;
        // An instance that has restarted is listed at the same address under another id.
        return !known.candidate.isAvailable || addresses.count(known.candidate.address)
            || now - known.lastListedAt > UnlistedRetention;
    });
}

std::optional<InstanceId> LimitCoordinators::coordinatorOf(std::uint64_t server) const
{
    const std::string key = std::to_string(server);
    std::optional<InstanceId> best;
    std::uint64_t bestWeight = 0;
    for (const auto& [id, known] : m_known) {
        if (!known.candidate.isAvailable)
            continue;
        const std::uint64_t weight = rendezvous(key, id);
        if (!best || weight > bestWeight) {
            best = id;
            bestWeight = weight;
        }
    }
    return best;
}

} // namespace crocusmount::relay
