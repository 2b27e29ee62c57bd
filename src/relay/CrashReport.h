#pragma once

#include "crocusmount/Time.h"
#include "relay/RequestIdentity.h"

namespace crocusmount::relay {

/// A request that has made progress at a server for this long is considered harmless to servers.
constexpr Duration MinHarmlessRun = std::chrono::milliseconds(300);

/// How strongly the end of a server points to a request that the server held, in ascending order.
enum class CrashSign {
    None, ///< the request had been running for some time, or had not been sent yet
    Waiting, ///< the request had been sent, and nothing shows that the server had begun to run it
    JustBegun, ///< the server had just begun to run the request
};

/// A request that a server held when the server ended.
struct CrashSuspect {
    RequestIdentity request;
    CrashSign sign = CrashSign::None;
};

/// Says that a backend server ended while it held a request that may have crashed the server.
struct CrashReport {
    CrashSuspect suspect;
    std::uint64_t server = 0; ///< key of the start of the server that ended, see engineKey
};

} // namespace crocusmount::relay
