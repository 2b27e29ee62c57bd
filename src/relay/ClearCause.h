#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// Why evidence against a trait of requests is dropped.
enum class ClearCause {
    Run, ///< a request with it ran on this instance
    EarlierRun, ///< others reported ends of servers, but a request with it had run on this instance lately
    OtherInstance, ///< another instance saw a request with it run
    Operator, ///< the quarantine was removed from the store
};
constexpr std::size_t ClearCauseCount = 4;

/// @return the snake_case name used in logs and metrics
const char* toString(ClearCause);

} // namespace crocusmount::relay
