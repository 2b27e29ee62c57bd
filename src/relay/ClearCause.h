#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// Why evidence against a trait of requests is dropped.
enum class ClearCause {
    Run, ///< a request with it ran on this instance, and began after the ends that no longer count
    OtherInstance, ///< the same on another instance
    Operator, ///< the quarantine was removed from the store
};
constexpr std::size_t ClearCauseCount = 3;

/// @return the snake_case name used in logs and metrics
const char* toString(ClearCause);

} // namespace crocusmount::relay
