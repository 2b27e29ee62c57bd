#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// Why an attempt could not connect to its server.
enum class ConnectFailure {
    TimedOut, ///< no answer within the time for connecting
    Refused, ///< the host answered that no process listens at the port
    Reset, ///< the connection was reset while it was established
    Other, ///< an invalid address, no route to the host, or no resources at this instance
};
inline constexpr std::size_t ConnectFailureCount = 4;

/// @return the snake_case name used in logs and metrics
const char* toString(ConnectFailure);

} // namespace crocusmount::relay
