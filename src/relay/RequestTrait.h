#pragma once

#include "crocusmount/Ids.h"
#include "relay/ContentDigest.h"

#include <compare>
#include <optional>
#include <string>
#include <variant>

namespace crocusmount::relay {

/// Something that requests may have in common and that may crash servers: the whole content, which only repeats of a
/// request share, or a part of the prompt.
///
/// Requests with a part have two traits: the part in the prompts of their workspace, and the part in the prompts of all
/// workspaces. The first is blocked on crashes under requests of one workspace, the second only on crashes that more
/// than one workspace accounts for, so that no caller can have the requests of another workspace blocked.
struct RequestTrait {
    using Value = std::variant<ContentDigest, PromptPartId>;

    /// The sender's workspace, empty on an anonymous route; nothing for a part in the prompts of all workspaces.
    std::optional<WorkspaceId> workspace;
    Value value;

    auto operator<=>(const RequestTrait&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const RequestTrait&) const = default;

    bool isPromptPart() const { return std::holds_alternative<PromptPartId>(value); }
    bool isOfAllWorkspaces() const { return !workspace; }
    /// @return the same content or part in the requests of all workspaces
    RequestTrait ofAllWorkspaces() const { return { std::nullopt, value }; }
    /// @return the digest or the id of the part, as lower-case hexadecimal digits
    std::string toHex() const;
    /// @return the name of the workspace, or "*" for all workspaces
    std::string scope() const { return workspace ? workspace->value() : "*"; }
};

/// @return the name of the trait's kind: "content" or "part"
const char* kindOf(const RequestTrait&);

} // namespace crocusmount::relay
