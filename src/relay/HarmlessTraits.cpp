#include "relay/HarmlessTraits.h"

#include <algorithm>

namespace crocusmount::relay {

namespace {

    /// About 1 MB for each kind.
    constexpr std::size_t MaxTraitsPerKind = 4096;
    /// Requests with a popular trait run more often than this on every instance.
    constexpr Duration Lifetime = std::chrono::seconds(30);

} // namespace

void HarmlessTraits::Kind::add(const RequestTrait& trait, TimePoint begunAt, TimePoint now)
{
    const auto [found, isNew] = entries.try_emplace(trait);
    Entry& entry = found->second;
    entry.lastRunAt = now;
    entry.lastBegunAt = std::max(entry.lastBegunAt, begunAt);
    if (!isNew) {
        byLastRun.splice(byLastRun.end(), byLastRun, entry.position);
        return;
    }
    entry.position = byLastRun.insert(byLastRun.end(), trait);
    if (entries.size() <= MaxTraitsPerKind)
        return;
    entries.erase(byLastRun.front());
    byLastRun.pop_front();
}

void HarmlessTraits::add(const std::vector<RequestTrait>& traits, TimePoint begunAt, TimePoint now)
{
    for (const RequestTrait& trait : traits)
        m_kinds.at(trait.value.index()).add(trait, begunAt, now);
}

std::optional<TimePoint> HarmlessTraits::lastBegunAt(const RequestTrait& trait, TimePoint now) const
{
    const auto& entries = m_kinds.at(trait.value.index()).entries;
    const auto found = entries.find(trait);
    if (found == entries.end() || now >= found->second.lastRunAt + Lifetime)
        return std::nullopt;
    return found->second.lastBegunAt;
}

} // namespace crocusmount::relay
