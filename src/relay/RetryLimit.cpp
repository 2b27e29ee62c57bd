#include "relay/RetryLimit.h"

namespace crocusmount::relay {

const char* toString(RetryLimit limit)
{
    switch (limit) {
    case RetryLimit::NotRepeatable:
        return "not_repeatable";
    case RetryLimit::Attempts:
        return "attempts";
    case RetryLimit::Rejections:
        return "rejections";
    case RetryLimit::Deadline:
        return "deadline";
    case RetryLimit::Budget:
        return "budget";
    case RetryLimit::NoServer:
        return "no_server";
    }
    return "unknown";
}

} // namespace crocusmount::relay
