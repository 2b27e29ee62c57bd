#pragma once

#include "crocusmount/Ids.h"
#include "edge/EngineReport.h"

namespace crocusmount {

/// What a plain server answers to the question which start of a server it is.
struct ServerIdentity {
    CheckAnswer answer = CheckAnswer::Silent;
    BackendId id; ///< of the start that answered; empty if it did not say
};

} // namespace crocusmount
