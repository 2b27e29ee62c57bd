#pragma once

#include <cstddef>

namespace crocusmount::relay {

/// How the time ended for which a call was held because its instance knew too little to place it.
enum class StartHoldEnd {
    Placed, ///< sent to a server
    TooShort, ///< refused at once: its time is too short to be held
    TooMany, ///< refused at once: as many calls are held as may be
    NotInTime, ///< refused as soon as this was known: the servers can't begin it while its caller still waits
    PatienceOver, ///< refused while its caller still waits for the refusal
};

/// The number of ends.
constexpr std::size_t StartHoldEndCount = static_cast<std::size_t>(StartHoldEnd::PatienceOver) + 1;

/// @return the snake_case name for logs and metrics
const char* toString(StartHoldEnd);

} // namespace crocusmount::relay
