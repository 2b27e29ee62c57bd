#pragma once

#include "crocusmount/Ids.h"
#include "edge/EngineReport.h"

namespace crocusmount {

/// The start of a server that answered a health check, as far as it names itself.
struct ServerIdentity {
    CheckAnswer answer = CheckAnswer::Silent;
    BackendId id; ///< empty: the answer named none
};

} // namespace crocusmount
