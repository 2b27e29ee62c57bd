#include "relay/ShortageCause.h"

namespace crocusmount::relay {

const char* toString(ShortageCause cause)
{
    switch (cause) {
    case ShortageCause::ForeseenTooLate:
        return "foreseen_too_late";
    case ShortageCause::WaitedTooLong:
        return "waited_too_long";
    case ShortageCause::FailedAttempt:
        return "failed_attempt";
    }
    return "unknown";
}

} // namespace crocusmount::relay
