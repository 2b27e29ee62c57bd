#include "relay/ConnectFailure.h"

namespace crocusmount::relay {

const char* toString(ConnectFailure failure)
{
    switch (failure) {
    case ConnectFailure::TimedOut:
        return "timed_out";
    case ConnectFailure::Refused:
        return "refused";
    case ConnectFailure::Reset:
        return "reset";
    case ConnectFailure::Other:
        return "other";
    }
    return "unknown";
}

} // namespace crocusmount::relay
