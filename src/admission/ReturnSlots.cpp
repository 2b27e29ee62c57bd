#include "admission/ReturnSlots.h"

#include <algorithm>
#include <cmath>

namespace crocusmount {

namespace {

    /// Multiples of the golden ratio are spread evenly between whole numbers.
    constexpr double GoldenRatio = 0.6180339887498949;

} // namespace

/// @return callers that may be given a slot in all
double ReturnSlots::roomIn(std::int64_t slot, bool isUrgent, const Rates& rates) const
{
    const double perSecond = std::max(rates.room - rates.newcomers, GuaranteedShare * rates.room);
    const double share = isUrgent ? 1 : 1 - UrgentShare;
    const double room = share * perSecond * std::chrono::duration<double>(SlotLength).count();
    const double turn = *m_offset + GoldenRatio * static_cast<double>(slot);
    return std::floor(room + turn - std::floor(turn));
}

ReturnSlots::Offer ReturnSlots::book(TimePoint now, Duration latest, bool isUrgent, const Rates& rates, double fraction)
{
    m_booked.erase(m_booked.begin(), m_booked.lower_bound(slotAt(now)));
    if (!m_offset)
        m_offset = fraction;
    latest = std::min(latest, MaxAhead);
    Offer offer;
    const std::int64_t end = slotAt(now + latest);
    for (std::int64_t slot = slotAt(now + MinAhead) + 1; slot < end; ++slot) {
        offer.room = roomIn(slot, isUrgent, rates);
        offer.booked = bookedIn(slot);
        if (offer.booked + 1 > offer.room)
            continue;
        ++m_booked[slot];
        offer.slot = slot;
        offer.retryAfter = beginOf(slot) - now
            + Duration(static_cast<std::int64_t>(fraction * static_cast<double>(SlotLength.count())));
        return offer;
    }
    // More calls arrive than can start, and all room for returns is given away: the caller would be refused again.
    const bool isUseless = rates.arrivals > rates.room || latest < SlotLength;
    if (!isUseless)
        offer.retryAfter
            = latest - Duration(static_cast<std::int64_t>(fraction * static_cast<double>(SlotLength.count()) / 2));
    return offer;
}

void ReturnSlots::release(std::int64_t slot)
{
    const auto found = m_booked.find(slot);
    if (found != m_booked.end() && --found->second <= 0)
        m_booked.erase(found);
}

double ReturnSlots::bookedIn(std::int64_t slot) const
{
    const auto found = m_booked.find(slot);
    return found == m_booked.end() ? 0 : found->second;
}

} // namespace crocusmount
