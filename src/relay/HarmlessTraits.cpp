#include "relay/HarmlessTraits.h"

namespace crocusmount::relay {

namespace {

    /// About 1 MB for each kind.
    constexpr std::size_t MaxTraitsPerKind = 4096;
    /// Requests with a popular trait run more often than this on every instance.
    constexpr Duration Lifetime = std::chrono::seconds(30);

} // namespace

void HarmlessTraits::Kind::add(const RequestTrait& trait, TimePoint now)
{
    const auto [found, isNew] = entries.try_emplace(trait);
    Entry& entry = found->second;
    entry.lastRunAt = now;
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

void HarmlessTraits::add(const std::vector<RequestTrait>& traits, TimePoint now)
{
    for (const RequestTrait& trait : traits)
        m_kinds.at(trait.value.index()).add(trait, now);
}

bool HarmlessTraits::contains(const RequestTrait& trait, TimePoint now) const
{
    const auto& entries = m_kinds.at(trait.value.index()).entries;
    const auto found = entries.find(trait);
    return found != entries.end() && now < found->second.lastRunAt + Lifetime;
}

void HarmlessTraits::remove(const RequestTrait& trait)
{
    Kind& kind = m_kinds.at(trait.value.index());
    const auto found = kind.entries.find(trait);
    if (found == kind.entries.end())
        return;
    kind.byLastRun.erase(found->second.position);
    kind.entries.erase(found);
}

} // namespace crocusmount::relay
