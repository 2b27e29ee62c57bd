#include "relay/EndProof.h"

namespace crocusmount::relay {

const char* toString(EndProof proof)
{
    switch (proof) {
    case EndProof::None:
        return "none";
    case EndProof::LaterAnswer:
        return "later_answer";
    case EndProof::Report:
        return "report";
    case EndProof::Identity:
        return "identity";
    case EndProof::LaterEvent:
        return "later_event";
    case EndProof::Refusal:
        return "refusal";
    case EndProof::LaterStart:
        return "later_start";
    case EndProof::LostStage:
        return "lost_stage";
    }
    return "unknown";
}

} // namespace crocusmount::relay
