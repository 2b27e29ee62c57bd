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
    /// What may have crashed the server: the request's content, then the parts of its prompt in order, each for its
    /// workspace and for all.
    std::vector<RequestTrait> traits;
    CrashSign sign = CrashSign::None;
    std::vector<RequestTrait> ranLately {}; ///< those of the traits with which requests ran on this instance

    bool hasRunLately(const RequestTrait&) const;
    /// @return the workspace of the request
    WorkspaceId workspace() const
    {
        return traits.empty() ? WorkspaceId() : traits.front().workspace.value_or(WorkspaceId());
    }
    /// @return whether both requests have a trait in common that has not run lately, and that is not on many servers at
    ///         any time for this reason
    bool sharesTrait(const CrashSuspect&) const;
};

} // namespace crocusmount::relay
