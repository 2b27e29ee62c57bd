#pragma once

#include <chrono>
#include <cstdint>

namespace crocusmount {

/// A duration in the core, in whole microseconds.
using Duration = std::chrono::duration<std::int64_t, std::micro>;

/// The clock of the time points in events. It has no now() because the core never reads the time; every event carries
/// it.
struct EventClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<EventClock, Duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

/// A time in the core, in whole microseconds since the epoch of EventClock.
using TimePoint = EventClock::time_point;

/// @param microseconds  time since the clock's epoch
/// @return the time point
constexpr TimePoint timePoint(std::int64_t microseconds) { return TimePoint(Duration(microseconds)); }

} // namespace crocusmount
