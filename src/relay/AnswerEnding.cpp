#include "relay/AnswerEnding.h"

namespace crocusmount::relay {

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
