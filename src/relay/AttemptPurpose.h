#pragma once

namespace crocusmount::relay {

/// Why an attempt at a call begins.
enum class AttemptPurpose {
    First,
    Retry, ///< the one before failed, or no server had room
    Stalled, ///< the running one stands still
    Leaving, ///< the first stage of the running one gives up layers
    LostStage, ///< the running one lost a stage for good
};

/// @return the snake_case name used in logs
const char* toString(AttemptPurpose);

} // namespace crocusmount::relay
