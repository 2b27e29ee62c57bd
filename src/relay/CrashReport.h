#pragma once

#include "crocusmount/Time.h"
#include "relay/RequestIdentity.h"

namespace crocusmount::relay {

/// A request that shows life at a server for so long has not crashed it by what it is.
constexpr Duration SoundRun = std::chrono::milliseconds(300);

/// How much the end of a server tells of a request that was there.
enum class CrashSign {
    None, ///< it had run there for some time, or its bytes had not gone out
    Waiting, ///< it was there, and nothing shows that the server had begun to run it
    JustBegun, ///< the server had only just begun to run it
};

/// A request that was at a server as that ended.
struct CrashSuspect {
    RequestIdentity request;
    CrashSign sign = CrashSign::None;
};

/// One start of a backend server ended while a request was waiting or beginning to run there.
struct CrashReport {
    CrashSuspect suspect;
    std::uint64_t server = 0; ///< see engineKey
};

} // namespace crocusmount::relay
