#include "relay/RequestTrait.h"

namespace crocusmount::relay {

std::string RequestTrait::toHex() const
{
    if (const auto* part = std::get_if<PromptPartId>(&value))
        return part->value();
    return std::get<ContentDigest>(value).toHex();
}

const char* kindOf(const RequestTrait& trait) { return trait.isPromptPart() ? "part" : "content"; }

} // namespace crocusmount::relay
