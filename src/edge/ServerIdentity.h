#pragma once

#include "crocusmount/Ids.h"
#include "edge/EngineReport.h"

namespace crocusmount {

/// Result of a health check: the answer, and which start of the server gave it.
struct ServerIdentity {
    CheckAnswer answer = CheckAnswer::Silent;
    BackendId id; ///< empty if the answer does not contain one
    StartTime startedAt {}; ///< zero if the answer names none
    relay::ServerNotice notice; ///< what the answer states about the server
};

} // namespace crocusmount
