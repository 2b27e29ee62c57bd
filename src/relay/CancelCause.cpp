#include "relay/CancelCause.h"

namespace crocusmount::relay {

const char* toString(CancelCause cause)
{
    switch (cause) {
    case CancelCause::Superseded:
        return "superseded";
    case CancelCause::Backoff:
        return "backoff";
    case CancelCause::LostStage:
        return "lost_stage";
    case CancelCause::CallEnded:
        return "call_ended";
    }
    return "unknown";
}

} // namespace crocusmount::relay
