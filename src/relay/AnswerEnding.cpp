#include "relay/AnswerEnding.h"

namespace crocusmount::relay {

Completeness completenessOf(const AnswerEnding& ending)
{
    if (ending.stop == AnswerStop::Aborted || ending.isInsideEvent)
        return Completeness::BrokenOff;
    if (ending.stop == AnswerStop::EndOfMessage)
        return Completeness::Complete;
    if (ending.framing != AnswerFraming::Connection)
        return Completeness::BrokenOff;
    if (!ending.isStream)
        return Completeness::Unproven;
    return ending.events || ending.isContinuation ? Completeness::Unproven : Completeness::BrokenOff;
}

const char* toString(EndVerdict verdict)
{
    switch (verdict) {
    case EndVerdict::Verified:
        return "verified";
    case EndVerdict::BrokenOff:
        return "broken_off";
    case EndVerdict::Undecided:
        return "undecided";
    }
    return "verdict";
}

const char* toString(AnswerFraming framing)
{
    switch (framing) {
    case AnswerFraming::Length:
        return "length";
    case AnswerFraming::Chunks:
        return "chunks";
    case AnswerFraming::Connection:
        return "connection";
    }
    return "framing";
}

const char* toString(AnswerStop stop)
{
    switch (stop) {
    case AnswerStop::EndOfMessage:
        return "end_of_message";
    case AnswerStop::Closed:
        return "closed";
    case AnswerStop::Aborted:
        return "aborted";
    }
    return "stop";
}

} // namespace crocusmount::relay
