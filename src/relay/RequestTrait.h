#pragma once

#include "crocusmount/Ids.h"
#include "relay/ContentDigest.h"

#include <compare>
#include <string>
#include <variant>

namespace crocusmount::relay {

/// Something that requests of one workspace may have in common and that may crash servers: the whole content, which
/// only repeats of a request share, or a part of the prompt.
///
/// The workspace belongs to the trait, so that no caller can affect the requests of another workspace.
struct RequestTrait {
    WorkspaceId workspace; ///< the sender's workspace; empty on an anonymous route
    std::variant<ContentDigest, PromptPartId> value;

    auto operator<=>(const RequestTrait&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const RequestTrait&) const = default;

    bool isPromptPart() const { return std::holds_alternative<PromptPartId>(value); }
    /// @return the digest or the id of the part, as lower-case hexadecimal digits
    std::string toHex() const;
};

/// @return the name of the trait's kind: "content" or "part"
const char* kindOf(const RequestTrait&);

} // namespace crocusmount::relay
