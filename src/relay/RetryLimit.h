#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// What keeps a call from another attempt.
enum class RetryLimit {
    NotRepeatable, ///< it may have run, and may run once only
    Attempts, ///< as many servers as the route allows may have run it
    Rejections, ///< as many servers as allowed turned it away
    Deadline,
    Budget, ///< the service's retries are spent
    NoServer, ///< no server with room was found in time
};

constexpr std::size_t RetryLimitCount = static_cast<std::size_t>(RetryLimit::NoServer) + 1; // NOLINT

/// @return the snake_case name used in logs and metrics
const char* toString(RetryLimit);

} // namespace crocusmount::relay
