#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusmount {

/// Decides when callers that were refused for lack of capacity should return.
///
/// Load pattern: demand above the room for seconds, and the return of those who were turned away. If refused callers
/// return all at once, or while the room is still used up, they are refused again, and most of them make no further
/// try. So each one is given a slot of half a second in which room will be free.
///
/// Every instance books only its own share: the room that its own calls free, less what its newcomers are expected to
/// use. All instances decide alike, so the sum of the bookings of a slot stays within the room of the fleet without a
/// message. A share of less than one caller a slot is rounded up in some slots and down in others, at random by
/// instance and slot.
class ReturnSlots {
public:
    static constexpr Duration SlotLength = std::chrono::milliseconds(500);
    /// Share of the room that returning callers may always use. Otherwise nobody would be given a time while a shortage
    /// lasts, although those who return then go before newcomers. Newcomers keep three quarters of the room.
    static constexpr double GuaranteedShare = 0.25;
    /// Share of a slot that is kept for calls of the most urgent rank.
    static constexpr double UrgentShare = 0.2;
    /// Shortest time ahead for which slots are given: the other instances learn of the slot within three rounds of the
    /// load reports.
    static constexpr Duration MinAhead = std::chrono::milliseconds(500);
    /// Longest time ahead for which slots are given. Few callers wait longer, as they accept a third of their time.
    static constexpr Duration MaxAhead = std::chrono::seconds(20);

    /// What this instance has learnt about a service, in calls a second.
    struct Rates {
        double room = 0; ///< calls that can start, which is the rate at which calls end
        double newcomers = 0; ///< calls that arrive and are not returns, over a longer time
        double arrivals = 0; ///< calls that arrive at present
    };
    /// When a refused caller should return, and the reason.
    struct Offer {
        Duration retryAfter {}; ///< zero if a return is useless
        std::optional<std::int64_t> slot; ///< the booked slot; nothing if no slot in reach has room
        double room = 0; ///< of that slot, or of the last one in reach, in calls
        double booked = 0; ///< callers that were given that slot before
    };

    /// Books the earliest slot with room for a caller.
    /// @param latest    longest Retry-After that the caller accepts and that leaves time to serve the call
    /// @param isUrgent  whether the call is of the most urgent rank, which may use the whole of each slot
    /// @param fraction  random number in [0, 1), which places the caller within its slot
    Offer book(TimePoint now, Duration latest, bool isUrgent, const Rates&, double fraction);
    /// Frees the place of a caller that returned, or that will not use its slot.
    void release(std::int64_t slot);
    /// @return callers that were given a slot
    double bookedIn(std::int64_t slot) const;
    static std::int64_t slotAt(TimePoint time) { return time.time_since_epoch() / SlotLength; }
    static TimePoint beginOf(std::int64_t slot) { return TimePoint(SlotLength * slot); }

private:
    double roomIn(std::int64_t slot, bool isUrgent, const Rates&) const;

    std::map<std::int64_t, double> m_booked; ///< callers by slot, from the present one on
    std::optional<double> m_offset; ///< from 0 to 1, differs between instances; decides which slots are rounded up
};

} // namespace crocusmount
