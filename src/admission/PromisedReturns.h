#pragma once

#include "crocusmount/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace crocusmount {

/// Remembers the calls whose callers were given a time to return at, so that those who keep to it go before newcomers.
///
/// Load pattern: demand above the room for seconds. Room given to a caller that returns on time must not have been
/// taken by calls that arrived a moment earlier.
class PromisedReturns {
public:
    /// Maximum number of calls that are remembered. The earliest entries are forgotten first; their callers only lose
    /// their precedence.
    static constexpr std::size_t MaxEntries = 4096;
    /// How long after its slot a call still counts as on time: connecting again may take this long.
    static constexpr Duration Grace = std::chrono::milliseconds(500);

    /// How long before its slot a call still counts as on time: other instances learn the slot to within a few steps of
    /// 10 ms.
    static constexpr Duration Tolerance = std::chrono::milliseconds(50);

    /// How a call fits the time that its caller was given.
    struct Return {
        std::optional<std::int64_t> slot; ///< the caller's slot if this instance booked it, see ReturnSlots
        bool isEarly = false; ///< it came before its slot
        Duration late {}; ///< time since the end of the slot; zero if before
    };

    /// @param key    of the call's workspace and content
    /// @param begin  of the slot that its caller was given
    /// @param slot   index of the slot if this instance booked it
    void add(std::uint64_t key, TimePoint begin, std::optional<std::int64_t> slot, TimePoint now);
    /// Looks up a call that arrives, and forgets it.
    /// @return its promise, or nothing if there is none or the call is too late
    std::optional<Return> take(std::uint64_t key, TimePoint now);
    std::size_t size() const { return m_promises.size(); }

private:
    struct Promise {
        TimePoint begin; ///< of the slot
        std::optional<std::int64_t> slot;
        std::uint64_t number = 0; ///< distinguishes promises to the same call
    };

    void expire(TimePoint now);
    static TimePoint endOf(const Promise&);

    std::map<std::uint64_t, Promise> m_promises; ///< by key
    std::deque<std::pair<std::uint64_t, std::uint64_t>> m_order; ///< key and number, the oldest promise first
    std::uint64_t m_nextNumber = 1;
};

} // namespace crocusmount
