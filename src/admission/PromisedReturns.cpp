#include "admission/PromisedReturns.h"

#include "admission/ReturnSlots.h"

#include <algorithm>

namespace crocusmount {

TimePoint PromisedReturns::endOf(const Promise& promise) { return promise.begin + ReturnSlots::SlotLength + Grace; }

void PromisedReturns::expire(TimePoint now)
{
    while (!m_order.empty()) {
        const auto [key, number] = m_order.front();
        const auto found = m_promises.find(key);
        const bool isCurrent = found != m_promises.end() && found->second.number == number;
        // A later promise may end earlier; it then only stays a little longer.
        if (isCurrent && now < endOf(found->second) && m_order.size() <= MaxEntries)
            return;
        if (isCurrent)
            m_promises.erase(found);
        m_order.pop_front();
    }
}

void PromisedReturns::add(std::uint64_t key, TimePoint begin, std::optional<std::int64_t> slot, TimePoint now)
{
    m_promises[key] = { begin, slot, m_nextNumber };
    m_order.emplace_back(key, m_nextNumber++);
    expire(now);
}

std::optional<PromisedReturns::Return> PromisedReturns::take(std::uint64_t key, TimePoint now)
{
    const auto found = m_promises.find(key);
    if (found == m_promises.end())
        return std::nullopt;
    const Promise promise = found->second;
    m_promises.erase(found);
    if (now >= endOf(promise))
        return std::nullopt;
    const TimePoint end = promise.begin + ReturnSlots::SlotLength;
    return Return { promise.slot, now + Tolerance < promise.begin, std::max(Duration(0), now - end) };
}

} // namespace crocusmount
