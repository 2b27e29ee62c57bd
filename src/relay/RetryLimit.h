#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// Why a call gets no further attempt.
enum class RetryLimit {
    NotRepeatable, ///< the call may have run, and its route allows only one run
    Attempts, ///< as many attempts as the route allows may have run the call
    Rejections, ///< RelayOptions::maxRejections attempts could not connect or were rejected
    Deadline, ///< the call's deadline has passed
    Budget, ///< the service's retry budget is spent
    NoServer, ///< no server with capacity was found in time
};

constexpr std::size_t RetryLimitCount = static_cast<std::size_t>(RetryLimit::NoServer) + 1; // NOLINT

/// @return the snake_case name used in logs and metrics
const char* toString(RetryLimit);

} // namespace crocusmount::relay
