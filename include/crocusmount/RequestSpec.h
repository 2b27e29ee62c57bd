#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <string>

namespace crocusmount {

/// The parameters of a caller's request. Their syntax is valid, but the request may still be refused.
struct RequestSpec {
    WorkspaceId workspace;
    PipelineId pipeline;
    std::string prompt; ///< prompt for a model, or the serialized call of a plain service
    std::uint32_t maxTokens = 1; ///< upper bound of the tokens to generate
    Duration timeout {}; ///< time to the deadline; 0 for the pipeline's default
    int priority = 0; ///< order among requests of one PipelineKind, highest first; limited to -100 to 100
    std::string idempotencyKey; ///< empty if the caller sent none
    bool repeatable = true; ///< whether the request may run more than once
};

} // namespace crocusmount
