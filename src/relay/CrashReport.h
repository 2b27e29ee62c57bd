#pragma once

#include "crocusmount/Time.h"
#include "relay/CrashSuspect.h"

#include <cstdint>

namespace crocusmount::relay {

/// Says that a backend server ended while it held a request that may have crashed the server.
struct CrashReport {
    CrashSuspect suspect;
    std::uint64_t server = 0; ///< key of the start of the server that ended, see engineKey
    Duration age {}; ///< time from when the end was detected to when the report was made
    Duration ageOfLife {}; ///< time from when the server was last known to be alive to when the report was made
    bool isGroupFailure = false; ///< the server seems to have ended together with others, in a group failure
};

} // namespace crocusmount::relay
