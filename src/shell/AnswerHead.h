#pragma once

namespace crocusmount {

/// What the status code of an answer says about the message.
enum class StatusKind {
    Interim, ///< another answer to the same request follows
    Final,
    Invalid, ///< no status of HTTP, or one that nobody has asked for
};

/// @param status  three digits of a status line, as a number
StatusKind kindOfStatus(unsigned status);

} // namespace crocusmount
