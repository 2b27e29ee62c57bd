#pragma once

namespace crocusmount::relay {

/// Why an attempt at a call is started.
enum class AttemptPurpose {
    First, ///< the call has had no failed attempt
    Retry, ///< an earlier attempt failed or was rejected
    Stalled, ///< the running attempt has stalled
    Leaving, ///< the first stage of the running attempt gives up layers
    LostStage, ///< a stage of the running attempt has ended and cannot be replaced
    UnprovenEnd, ///< the main attempt has ended, and its server has shown no sign of life since
};

/// @return the snake_case name used in logs
const char* toString(AttemptPurpose);

} // namespace crocusmount::relay
