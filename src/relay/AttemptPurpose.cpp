#include "relay/AttemptPurpose.h"

namespace crocusmount::relay {

const char* toString(AttemptPurpose purpose)
{
    switch (purpose) {
    case AttemptPurpose::First:
        return "first";
    case AttemptPurpose::Retry:
        return "retry";
    case AttemptPurpose::Stalled:
        return "stalled";
    case AttemptPurpose::Leaving:
        return "leaving";
    case AttemptPurpose::LostStage:
        return "lost_stage";
    case AttemptPurpose::UnprovenEnd:
        return "unproven_end";
    }
    return "unknown";
}

} // namespace crocusmount::relay
