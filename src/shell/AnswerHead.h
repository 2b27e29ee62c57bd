#pragma once

#include "shell/Net.h"

#include <string_view>

namespace crocusmount {

/// What the status code of an answer says about the message.
enum class StatusKind {
    Interim, ///< another answer to the same request follows
    Final,
    Invalid, ///< no status of HTTP, or one that nobody has asked for
};

/// @param status  three digits of a status line, as a number
StatusKind kindOfStatus(unsigned status);

/// @return whether a field of a head occurs more than once, with different values
bool hasConflictingValues(const http::fields& head, std::string_view name);

/// @return the value of a field; empty if it does not occur or has conflicting values
std::string_view singleValue(const http::fields& head, std::string_view name);

} // namespace crocusmount
