#pragma once

#include "relay/RequestTrait.h"

#include <vector>

namespace crocusmount::relay {

/// How strongly the end of a server points to a request that the server held, in ascending order.
enum class CrashSign {
    None, ///< the request had been running for some time, or had not been sent yet
    Waiting, ///< the request had been sent, and nothing shows that the server had begun to run it
    JustBegun, ///< the server had just begun to run the request
};

/// A request that a server held when the server ended.
struct CrashSuspect {
    /// What may have crashed the server: the request's content, then the parts of its prompt in order, without those
    /// that are known to be harmless.
    std::vector<RequestTrait> traits;
    CrashSign sign = CrashSign::None;
    std::vector<RequestTrait> exempt {}; ///< parts left out as harmless, for logs; unknown for other instances' reports

    bool hasTrait(const RequestTrait&) const;
    /// @return whether both requests have a trait in common
    bool sharesTrait(const CrashSuspect&) const;
};

} // namespace crocusmount::relay
