#include "relay/ReturnAnnouncements.h"

#include <algorithm>
#include <utility>

namespace crocusmount::relay {

namespace {

    /// Most promises that wait to be passed on, or to be taken. Further ones are dropped.
    constexpr std::size_t MaxPending = 1024;
    /// Two promises to the same call are the same if their slots begin within this time. The time is passed on in steps
    /// of 10 ms at each hop.
    constexpr Duration SameSlot = std::chrono::milliseconds(200);
    /// How long after the begin of its slot a promise is remembered.
    constexpr Duration Lifetime = std::chrono::seconds(1);

} // namespace

void ReturnAnnouncements::add(const PromisedReturn& promise)
{
    m_known[promise.key] = promise.begin;
    if (m_pending.size() < MaxPending)
        m_pending.push_back({ promise, LoadScope::Instance, true });
}

void ReturnAnnouncements::receive(const LoadReport& report, bool isSenderSelf, TimePoint now)
{
    if (isSenderSelf)
        return;
    for (const PromisedReturn& promise : report.promisedReturns) {
        const auto [known, isNew] = m_known.try_emplace(promise.key, promise.begin);
        const Duration difference = promise.begin - known->second;
        if ((!isNew && std::max(difference, -difference) < SameSlot) || promise.begin + Lifetime < now)
            continue;
        known->second = promise.begin;
        if (m_received.size() < MaxPending)
            m_received.push_back(promise);
        if (report.scope != LoadScope::Fleet && m_pending.size() < MaxPending)
            m_pending.push_back({ promise, report.scope });
    }
}

std::vector<PromisedReturn> ReturnAnnouncements::announced(LoadScope scope) const
{
    const std::size_t most = scope == LoadScope::Instance ? MaxPerInstance : MaxPerSum;
    std::vector<PromisedReturn> result;
    for (const Pending& each : m_pending) {
        const bool isIncluded = scope == LoadScope::Fleet || (scope == LoadScope::Instance && each.isOwn)
            || (scope == LoadScope::DataCentre && each.heardFrom == LoadScope::Instance);
        if (isIncluded && result.size() < most)
            result.push_back(each.promise);
    }
    return result;
}

void ReturnAnnouncements::endRound(TimePoint now)
{
    std::erase_if(m_pending, [](Pending& each) { return --each.roundsLeft <= 0; });
    std::erase_if(m_known, [&](const auto& each) { return each.second + Lifetime < now; });
}

std::vector<PromisedReturn> ReturnAnnouncements::takeReceived() { return std::exchange(m_received, {}); }

} // namespace crocusmount::relay
