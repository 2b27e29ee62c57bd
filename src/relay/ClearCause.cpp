#include "relay/ClearCause.h"

namespace crocusmount::relay {

const char* toString(ClearCause cause)
{
    switch (cause) {
    case ClearCause::Run:
        return "run";
    case ClearCause::OtherInstance:
        return "other_instance";
    case ClearCause::Operator:
        return "operator";
    }
    return "unknown";
}

} // namespace crocusmount::relay
